//! The table as a CSV sheet.

use porthoist_cli::sheet::{from_csv, to_csv};
use porthoist_operator::VersionedRow;
use porthoist_policy::table::RowCells;
use proptest::prelude::*;

fn row(version: u64, pairs: &[(&str, &str)]) -> VersionedRow {
    let cells: RowCells =
        pairs.iter().map(|(column, cell)| ((*column).to_owned(), (*cell).to_owned())).collect();
    VersionedRow { version, cells }
}

#[test]
fn an_exported_sheet_can_be_imported() {
    let rows = [
        row(3, &[("kind", "team"), ("name", "border"), ("rate", "50/s")]),
        row(4, &[("kind", "target"), ("name", "t1")]),
    ];
    let sheet = to_csv(&rows).unwrap();
    insta::assert_snapshot!(sheet, @r"
    kind,name,weight,rate,concurrency,priority,token,mode,repeat,drain,skew_weight,move_weight,map,version
    team,border,,50/s,,,,,,,,,,3
    target,t1,,,,,,,,,,,,4
    ");
    let edits = from_csv("sheet.csv", &sheet).unwrap();
    assert_eq!(edits.len(), 2);
    assert_eq!((edits[0].if_version, &edits[0].cells), (Some(3), &rows[0].cells));
}

#[test]
fn an_error_names_the_invalid_cell() {
    let sheet = "kind,name,rate\nteam,border,50/s\nteam,desk,many\n";
    let error = from_csv("sheet.csv", sheet).unwrap_err();
    assert_eq!(error.to_string(), "sheet.csv: line 3, column rate: \"many\" is not valid");
    assert_eq!(error.exit_status(), 2);
}

#[test]
fn a_sheet_with_an_unknown_column_is_rejected() {
    let error = from_csv("sheet.csv", "kind,name,colour\n").unwrap_err();
    assert!(error.to_string().contains("unknown column \"colour\""), "{error}");
}

proptest! {
    #[test]
    fn any_text_is_parsed_or_rejected(text in "(kind,name,rate\n)?[a-z,\"\n/0-9é]{0,200}") {
        if let Err(error) = from_csv("sheet.csv", &text) {
            prop_assert_eq!(error.exit_status(), 2);
        }
    }
}
