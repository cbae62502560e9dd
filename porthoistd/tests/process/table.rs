//! The operators' table: concurrent edits, atomic import, and an edit whose answer was lost.

use crate::harness::Fleet;
use serde_json::json;

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[tokio::test]
async fn the_later_of_two_conflicting_edits_is_refused_with_the_row_in_force() {
    let fleet = Fleet::start(1, 1, 0).await;
    let version =
        fleet.operator_get(0, "/v1/table").await["rows"][2]["version"].as_u64().unwrap().to_string();
    let first = fleet.tool(0, &["table", "set", "team/border", "weight=2", "--if-version", &version]);
    let second = fleet.tool(0, &["table", "set", "team/border", "weight=3", "--if-version", &version]);
    assert!(first.status.success(), "{}", text(&first.stderr));
    assert_eq!(second.status.code(), Some(3));
    assert!(
        text(&second.stderr).contains("in force: kind=team name=border weight=2"),
        "{}",
        text(&second.stderr)
    );
    let row = fleet.tool(0, &["table", "get", "team/border"]);
    assert!(text(&row.stdout).contains("weight=2"));
}

#[tokio::test]
async fn a_sheet_is_imported_atomically() {
    let fleet = Fleet::start(1, 1, 0).await;
    let sheet = text(&fleet.tool(0, &["table", "export"]).stdout);
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("sheet.csv");
    let file = path.to_str().unwrap();

    // A row with one cell for each column of the sheet.
    let columns = sheet.lines().next().unwrap().split(',').count();
    let new_row = format!("team,new,1,5/s{}\n", ",".repeat(columns - 4));
    let broken = sheet.replace("border,,100000/s", "border,5,many") + &new_row;
    std::fs::write(&path, &broken).unwrap();
    let refused = fleet.tool(0, &["table", "import", file]);
    assert_eq!(refused.status.code(), Some(2));
    let message = text(&refused.stderr);
    assert!(message.contains("column rate") && message.contains("line 4"), "{message}");
    assert_eq!(text(&fleet.tool(0, &["table", "export"]).stdout), sheet, "nothing was imported");

    let good = sheet.replace("border,,100000/s", "border,5,99000/s") + &new_row;
    std::fs::write(&path, &good).unwrap();
    let imported = fleet.tool(0, &["table", "import", file, "--wait"]);
    assert!(imported.status.success(), "{}", text(&imported.stderr));
    assert!(text(&imported.stdout).starts_with("2 rows"), "{}", text(&imported.stdout));

    let stale = good.replace("border,5,99000/s", "border,6,98000/s");
    std::fs::write(&path, stale.replace("team,new,1,5/s", "team,newer,1,5/s")).unwrap();
    let conflict = fleet.tool(0, &["table", "import", file]);
    assert_eq!(conflict.status.code(), Some(3), "{}", text(&conflict.stderr));
    let after = text(&fleet.tool(0, &["table", "export"]).stdout);
    assert!(after.contains("border,5,99000/s") && !after.contains("newer"), "{after}");
}

#[tokio::test]
async fn an_edit_whose_answer_was_lost_is_confirmed_by_reading_it_back() {
    let fleet = Fleet::start(1, 1, 0).await;
    fleet.set_platform_faults(json!({ "lose_answers": 1 })).await;
    let set = fleet.tool(0, &["table", "set", "team/border", "weight=7"]);
    assert!(set.status.success(), "{}", text(&set.stderr));
    assert!(text(&set.stdout).contains("read back"), "{}", text(&set.stdout));
    assert!(text(&fleet.tool(0, &["table", "get", "team/border"]).stdout).contains("weight=7"));
}

#[tokio::test]
async fn an_edit_fails_while_the_platform_is_unavailable() {
    let fleet = Fleet::start(1, 1, 0).await;
    fleet.set_platform_faults(json!({ "outage": true })).await;
    let set = fleet.tool(0, &["table", "set", "team/border", "weight=7"]);
    assert_eq!(set.status.code(), Some(4));
    fleet.set_platform_faults(json!({})).await;
    assert!(!text(&fleet.tool(0, &["table", "get", "team/border"]).stdout).contains("weight=7"));
}
