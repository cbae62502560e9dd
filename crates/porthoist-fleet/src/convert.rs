//! Conversion between porthoist's types and capnp messages.

use crate::digest::FleetDigest;
use crate::fleet_capnp::{attempt, digest, frame, header, load, offer, outcome, settle_ask, settle_told};
use bytes::Bytes;
use capnp::Error;
use capnp::{primitive_list, struct_list};
use porthoist_core::{
    AnswerFrame, AnswerHead, AttemptId, IncarnationId, LoadReport, OfferOutcome, RepeatPolicy, RequestId,
    RequestOffer, RequestPriority, ServiceKind, UnixDeadline, UnixMillis,
};
use porthoist_policy::limits::coordinator::{SettleAsk, SettleTold};
use std::str::FromStr;

fn parse_text<T: FromStr>(text: capnp::text::Reader<'_>) -> Result<T, Error>
where
    T::Err: std::fmt::Display,
{
    text.to_str()?.parse().map_err(|error: T::Err| Error::failed(error.to_string()))
}

fn write_attempt(mut builder: attempt::Builder<'_>, id: AttemptId) {
    builder.set_entry(id.entry.0);
    builder.set_request(id.request.0);
    builder.set_number(id.attempt);
}

fn read_attempt(reader: attempt::Reader<'_>) -> AttemptId {
    AttemptId {
        entry: IncarnationId(reader.get_entry()),
        request: RequestId(reader.get_request()),
        attempt: reader.get_number(),
    }
}

fn write_headers(mut list: struct_list::Builder<'_, header::Owned>, headers: &[(String, String)]) {
    for (index, (name, value)) in headers.iter().enumerate() {
        let mut builder = list.reborrow().get(index as u32);
        builder.set_name(name);
        builder.set_value(value);
    }
}

fn read_headers(list: struct_list::Reader<'_, header::Owned>) -> Result<Vec<(String, String)>, Error> {
    list.iter()
        .map(|reader| Ok((reader.get_name()?.to_str()?.to_owned(), reader.get_value()?.to_str()?.to_owned())))
        .collect()
}

/// Writes an offer.
pub fn write_offer(mut builder: offer::Builder<'_>, request: &RequestOffer) {
    write_attempt(builder.reborrow().init_attempt(), request.attempt);
    builder.set_team(request.team.as_str());
    builder.set_service(request.service.as_str());
    builder.set_plain(request.kind == ServiceKind::Plain);
    builder.set_method(&request.method);
    builder.set_path(&request.path);
    write_headers(builder.reborrow().init_headers(request.headers.len() as u32), &request.headers);
    builder.set_body(&request.body);
    builder.set_deadline(request.deadline.0.0);
    builder.set_priority(request.priority.0);
    builder.set_never(request.repeat == RepeatPolicy::Never);
    if let Some(ticket) = &request.ticket {
        builder.set_ticket(ticket.to_string());
    }
    builder.set_stream(request.stream);
    builder.set_resume_after(request.resume_after.unwrap_or(0));
    builder.set_prompt_tokens(request.prompt_tokens);
    let mut blocks = builder.init_prefix_blocks(request.prefix_blocks.len() as u32);
    for (index, block) in request.prefix_blocks.iter().enumerate() {
        blocks.set(index as u32, *block);
    }
}

/// Reads an offer.
pub fn read_offer(reader: offer::Reader<'_>) -> Result<RequestOffer, Error> {
    let ticket = if reader.has_ticket() { Some(parse_text(reader.get_ticket()?)?) } else { None };
    let blocks: primitive_list::Reader<'_, u64> = reader.get_prefix_blocks()?;
    let resume_after = reader.get_resume_after();
    Ok(RequestOffer {
        attempt: read_attempt(reader.get_attempt()?),
        team: parse_text(reader.get_team()?)?,
        service: parse_text(reader.get_service()?)?,
        kind: if reader.get_plain() { ServiceKind::Plain } else { ServiceKind::Model },
        method: reader.get_method()?.to_str()?.to_owned(),
        path: reader.get_path()?.to_str()?.to_owned(),
        headers: read_headers(reader.get_headers()?)?,
        body: Bytes::copy_from_slice(reader.get_body()?),
        deadline: UnixDeadline(UnixMillis(reader.get_deadline())),
        priority: RequestPriority(reader.get_priority().min(RequestPriority::MAX.0)),
        repeat: if reader.get_never() { RepeatPolicy::Never } else { RepeatPolicy::Safe },
        ticket,
        stream: reader.get_stream(),
        resume_after: (resume_after > 0).then_some(resume_after),
        prompt_tokens: reader.get_prompt_tokens(),
        prefix_blocks: blocks.iter().collect(),
    })
}

fn write_load(mut builder: load::Builder<'_>, report: &LoadReport) {
    builder.set_queued(report.queued);
    builder.set_running(report.running);
    builder.set_slots(report.slots);
    builder.set_queued_tokens(report.queued_tokens);
    builder.set_step_micros(report.step_micros);
    builder.set_slot_micros(report.slot_micros);
    builder.set_prefill_rate(report.prefill_rate);
    builder.set_at(report.at.0);
    builder.set_draining(report.draining);
}

fn read_load(reader: load::Reader<'_>) -> LoadReport {
    LoadReport {
        queued: reader.get_queued(),
        running: reader.get_running(),
        slots: reader.get_slots(),
        queued_tokens: reader.get_queued_tokens(),
        step_micros: reader.get_step_micros(),
        slot_micros: reader.get_slot_micros(),
        prefill_rate: reader.get_prefill_rate(),
        at: UnixMillis(reader.get_at()),
        draining: reader.get_draining(),
    }
}

/// Writes a list of frames.
pub fn write_frames(mut list: struct_list::Builder<'_, frame::Owned>, frames: &[AnswerFrame]) {
    for (index, answer) in frames.iter().enumerate() {
        let mut builder = list.reborrow().get(index as u32);
        write_attempt(builder.reborrow().init_attempt(), answer.attempt);
        builder.set_sequence(answer.sequence);
        builder.set_event(answer.event);
        builder.set_data(&answer.data);
    }
}

/// Reads one frame.
pub fn read_frame(reader: frame::Reader<'_>) -> Result<AnswerFrame, Error> {
    Ok(AnswerFrame {
        attempt: read_attempt(reader.get_attempt()?),
        sequence: reader.get_sequence(),
        event: reader.get_event(),
        data: Bytes::copy_from_slice(reader.get_data()?),
    })
}

/// Writes an outcome with the target's load.
pub fn write_outcome(mut builder: outcome::Builder<'_>, outcome: &OfferOutcome, report: &LoadReport) {
    write_load(builder.reborrow().init_load(), report);
    match outcome {
        OfferOutcome::Refused { reason, verdict, retry_at } => {
            let mut refused = builder.init_refused();
            refused.set_reason(reason.as_str());
            refused.set_verdict(verdict.as_str());
            refused.set_retry_at(retry_at.map_or(0, |at| at.0));
        }
        OfferOutcome::Whole { head, body, digest } => {
            let mut whole = builder.init_whole();
            whole.set_status(head.status);
            write_headers(whole.reborrow().init_headers(head.headers.len() as u32), &head.headers);
            whole.set_body(body);
            whole.set_digest(*digest);
        }
        OfferOutcome::StreamEnd { frames, digest } => {
            let mut end = builder.init_stream_end();
            end.set_frames(*frames);
            end.set_digest(*digest);
        }
    }
}

/// Reads an outcome with the target's load.
pub fn read_outcome(reader: outcome::Reader<'_>) -> Result<(OfferOutcome, LoadReport), Error> {
    let report = read_load(reader.get_load()?);
    let outcome = match reader.which()? {
        outcome::Which::Refused(refused) => {
            let retry_at = refused.get_retry_at();
            OfferOutcome::Refused {
                reason: parse_text(refused.get_reason()?)?,
                verdict: parse_text(refused.get_verdict()?)?,
                retry_at: (retry_at > 0).then_some(UnixMillis(retry_at)),
            }
        }
        outcome::Which::Whole(whole) => OfferOutcome::Whole {
            head: AnswerHead { status: whole.get_status(), headers: read_headers(whole.get_headers()?)? },
            body: Bytes::copy_from_slice(whole.get_body()?),
            digest: whole.get_digest(),
        },
        outcome::Which::StreamEnd(end) => {
            OfferOutcome::StreamEnd { frames: end.get_frames(), digest: end.get_digest() }
        }
    };
    Ok((outcome, report))
}

/// Writes a gossip digest.
pub fn write_digest(mut builder: digest::Builder<'_>, own: &FleetDigest) -> Result<(), Error> {
    builder.set_node(own.node.as_str());
    builder.set_zone(own.zone.as_str());
    builder.set_revision(own.revision);
    builder.set_wants_hosts(own.wants_hosts);
    if !own.hosts.is_empty() {
        let bytes = serde_json::to_vec(&own.hosts).map_err(|error| Error::failed(error.to_string()))?;
        builder.set_hosts(&bytes);
    }
    if let Some(change) = &own.change {
        let bytes = serde_json::to_vec(change).map_err(|error| Error::failed(error.to_string()))?;
        builder.set_change(&bytes);
    }
    Ok(())
}

/// Reads a gossip digest.
pub fn read_digest(reader: digest::Reader<'_>) -> Result<FleetDigest, Error> {
    let change = reader.get_change()?;
    let change = if change.is_empty() {
        None
    } else {
        Some(serde_json::from_slice(change).map_err(|error| Error::failed(error.to_string()))?)
    };
    let hosts = reader.get_hosts()?;
    let hosts = if hosts.is_empty() {
        Vec::new()
    } else {
        serde_json::from_slice(hosts).map_err(|error| Error::failed(error.to_string()))?
    };
    Ok(FleetDigest {
        node: parse_text(reader.get_node()?)?,
        zone: parse_text(reader.get_zone()?)?,
        revision: reader.get_revision(),
        change,
        wants_hosts: reader.get_wants_hosts(),
        hosts,
    })
}

/// Writes an entry's settlement requests to a coordinator.
pub fn write_settle_asks(mut list: struct_list::Builder<'_, settle_ask::Owned>, asks: &[SettleAsk]) {
    for (index, ask) in asks.iter().enumerate() {
        let mut item = list.reborrow().get(index as u32);
        item.set_team(ask.team);
        item.set_debt(ask.debt);
        item.set_wanted(ask.wanted);
    }
}

/// Reads an entry's settlement requests to a coordinator.
pub fn read_settle_asks(list: struct_list::Reader<'_, settle_ask::Owned>) -> Vec<SettleAsk> {
    let ask = |item: settle_ask::Reader<'_>| SettleAsk {
        team: item.get_team(),
        debt: item.get_debt(),
        wanted: item.get_wanted(),
    };
    list.iter().map(ask).collect()
}

/// Writes a coordinator's answers.
pub fn write_settle_told(mut list: struct_list::Builder<'_, settle_told::Owned>, told: &[SettleTold]) {
    for (index, answer) in told.iter().enumerate() {
        let mut item = list.reborrow().get(index as u32);
        item.set_team(answer.team);
        item.set_granted(answer.granted);
        item.set_wait_millis(answer.wait_millis);
    }
}

/// Reads a coordinator's answers.
pub fn read_settle_told(list: struct_list::Reader<'_, settle_told::Owned>) -> Vec<SettleTold> {
    let told = |item: settle_told::Reader<'_>| SettleTold {
        team: item.get_team(),
        granted: item.get_granted(),
        wait_millis: item.get_wait_millis(),
    };
    list.iter().map(told).collect()
}
