//! Ranks, reports and faults of the simulation of contention.

use super::*;

impl Simulation {
    pub(super) fn send(&mut self, index: usize, chosen: &ChosenTarget, at: u64) {
        let rank = self.records.iter().position(|record| record.id == chosen.record.id).unwrap();
        self.report.sends += 1;
        self.requests[index].stage = Stage::Sent { rank, at };
        if self.is_cut(self.requests[index].entry, rank / RANKS, at) {
            self.end(index, SendOutcome::Lost, at);
            self.requests[index].stage = Stage::Over;
            return;
        }
        let target = &mut self.ranks[rank];
        if target.running.len() >= SLOTS && target.waiting.len() >= RANK_QUEUE {
            self.report.rejections += 1;
            self.requests[index].rejected += 1;
            self.end(index, SendOutcome::Shed, at);
            if self.requests[index].rejected > 1 {
                self.refuse(index, at);
            } else {
                self.decide(index, QueueClass::Resent, at);
            }
            return;
        }
        target.waiting.insert((self.requests[index].priority, self.sequence), index);
        self.sequence += 1;
        self.fill(rank, at);
    }

    pub(super) fn end(&mut self, index: usize, outcome: SendOutcome, at: u64) {
        let request = &self.requests[index];
        let Stage::Sent { rank, at: sent } = request.stage else { return };
        let work = RequestWork {
            prompt_tokens: 835,
            priority: PriorityLevel(request.priority as u8),
            body_bytes: 0,
        };
        let (entry, life) = (request.entry, self.records[rank].life());
        if entry < self.alive || self.settings.policy == Policy::Omniscient {
            return;
        }
        self.entries[entry].ended(&self.service, &life, work, outcome, at - sent, clock(at));
        self.serve(entry, at);
    }

    /// Starts waiting requests at a rank, the most urgent first.
    pub(super) fn fill(&mut self, rank: usize, at: u64) {
        while self.ranks[rank].running.len() < SLOTS {
            let Some((_key, index)) = self.ranks[rank].waiting.pop_first() else { return };
            self.requests[index].started = at;
            self.ranks[rank].running.push(index);
        }
    }

    /// Starts requests in any free slots, except those that would be late.
    pub(super) fn fill_centrally(&mut self, at: u64) {
        while let Some(rank) = (0..self.ranks.len()).min_by_key(|rank| self.ranks[*rank].running.len())
            && self.ranks[rank].running.len() < SLOTS
            && let Some((_key, index)) = self.central.pop_first()
        {
            let Request { at: arrival, priority, .. } = self.requests[index];
            if at - arrival + PREFILL_MILLIS + 80 < ROUTES[priority].latency {
                self.requests[index].started = at;
                self.requests[index].stage = Stage::Sent { rank, at };
                self.ranks[rank].running.push(index);
            }
        }
    }

    pub(super) fn pass(&mut self, group: usize, at: u64) {
        let ranks = group * RANKS..(group + 1) * RANKS;
        for rank in ranks.clone() {
            if (4_000..10_000).contains(&at) {
                self.report.occupied.0 += self.ranks[rank].running.len() as u64;
                self.report.occupied.1 += SLOTS as u64;
            }
            for index in self.ranks[rank].running.clone() {
                if at >= self.requests[index].started + PREFILL_MILLIS {
                    self.event(index, at);
                }
            }
            self.ranks[rank].running.retain(|index| self.requests[*index].stage != Stage::Over);
            self.abandon_waiting(rank, at);
            self.fill(rank, at);
        }
        if self.settings.policy == Policy::Omniscient {
            self.fill_centrally(at);
        }
        let running = ranks.map(|rank| self.ranks[rank].running.len()).max().unwrap_or_default();
        self.passes[group] = 60 + 2 * running as u64;
        self.schedule(at + self.passes[group], Event::Pass(group));
    }

    pub(super) fn event(&mut self, index: usize, at: u64) {
        let request = &mut self.requests[index];
        let Stage::Sent { rank, at: sent } = request.stage else { return };
        request.received += 1;
        let cut = self.is_cut(self.requests[index].entry, rank / RANKS, at);
        let request = &self.requests[index];
        let Request { at: arrival, priority, events, received, entry, .. } = *request;
        let second = arrival as usize / 1_000;
        if received == 1 && !cut && at - arrival <= ROUTES[priority].latency {
            self.report.seconds[priority][second].1 += 1;
            self.report.value += ROUTES[priority].value;
        }
        if entry >= self.alive && !cut && self.settings.policy != Policy::Omniscient {
            match received {
                1 => {
                    let millis = (at - sent) as f64;
                    self.entries[entry].first_event_received(&self.records[rank], millis, clock(at));
                }
                _ => self.entries[entry].event_received(&self.records[rank], clock(at)),
            }
        }
        if received == events {
            self.end(index, SendOutcome::Answered((at - sent) as f64), at);
            self.requests[index].stage = Stage::Over;
            if entry >= self.alive {
                self.entries[entry].stream_ended(&self.service, u64::from(events));
            }
        }
    }

    /// Drops requests whose callers have left.
    pub(super) fn abandon_waiting(&mut self, rank: usize, at: u64) {
        let waiting: Vec<(usize, u64)> = self.ranks[rank].waiting.keys().copied().collect();
        for key in waiting {
            let index = self.ranks[rank].waiting[&key];
            let Stage::Sent { at: sent, .. } = self.requests[index].stage else { continue };
            if at - sent > (4 * ROUTES[key.0].latency).max(2_000) {
                self.ranks[rank].waiting.remove(&key);
                self.end(index, SendOutcome::Abandoned, at);
                self.requests[index].stage = Stage::Over;
            }
        }
    }

    pub(super) fn read(&mut self, group: usize, at: u64) {
        let next = at + self.random.random_range(80..=120);
        self.schedule(next, Event::Reading(group));
        if self.settings.policy == Policy::Omniscient {
            return;
        }
        let mut sum = ServiceDemand::default();
        for index in 0..self.entries.len() {
            // The demand of an entry that is not heard counts for another second.
            let unheard = index < self.alive || self.is_cut(index, group, at);
            if !unheard {
                let own = self.entries[index].own_demand(clock(at)).remove(&self.service);
                self.own_demands[index] = own.unwrap_or_default();
            }
            if !unheard || at < 5_000 + DEMAND_EXPIRY_MILLIS {
                sum.add(&self.own_demands[index]);
            }
        }
        let demands = &mut self.demands[group];
        demands.push_back((at, sum));
        while demands.get(1).is_some_and(|(time, _sum)| time + DEMAND_DELAY_MILLIS <= at) {
            demands.pop_front();
        }
        let demand = demands[0].1.clone();
        let rank = |rank: usize| RankLoad {
            host: host(rank),
            requests: (self.ranks[rank].running.len() + self.ranks[rank].waiting.len()) as u32,
            silent: false,
        };
        self.sequence += 1;
        let loads = GroupLoads {
            revision: LoadRevision(self.sequence),
            age_millis: 0,
            demand: (self.settings.policy == Policy::Shared).then_some(demand),
            pass: GroupPass::Millis(self.passes[group] as u16),
            ranks: (group * RANKS..(group + 1) * RANKS).map(rank).collect(),
        };
        self.reports.insert((group, self.sequence), (at, loads));
        let arrival = at + self.random.random_range(100..=200);
        self.schedule(arrival, Event::Report(group, self.sequence));
    }

    pub(super) fn deliver(&mut self, group: usize, revision: u64, at: u64) {
        let Some((reading, mut loads)) = self.reports.remove(&(group, revision)) else { return };
        loads.age_millis = at - reading;
        for entry in self.alive..self.entries.len() {
            if self.is_cut(entry, group, at) {
                continue;
            }
            self.entries[entry].update_loads(&loads, clock(at));
            self.serve(entry, at);
        }
    }

    /// Whether an entry can't reach a group now. Zone 0 is cut off from the others for 3 s.
    pub(super) fn is_cut(&self, entry: usize, group: usize, at: u64) -> bool {
        let cut = self.settings.fault == Fault::CutOff && (5_000..8_000).contains(&at);
        cut && entry.is_multiple_of(GROUPS) != (group == 0)
    }

    /// Ends a third of the entries; their streams end and their callers retry elsewhere.
    pub(super) fn kill(&mut self, at: u64) {
        self.alive = self.entries.len().div_ceil(3).min(self.entries.len() - 1);
        for rank in &mut self.ranks {
            rank.running.retain(|index| self.requests[*index].entry >= self.alive);
            rank.waiting.retain(|_key, index| self.requests[*index].entry >= self.alive);
        }
        for index in 0..self.requests.len() {
            let request = &mut self.requests[index];
            let open = matches!(request.stage, Stage::Waiting | Stage::Sent { .. });
            if request.attempt > 0 && request.entry < self.alive && open {
                request.stage = if request.attempt > 1 { Stage::Over } else { Stage::Caller };
                if request.attempt == 1 {
                    self.schedule(at + 50, Event::Attempt(index));
                }
            }
        }
    }
}
