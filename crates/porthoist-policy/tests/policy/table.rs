//! Tests of parsing rows of the operators' table.

use porthoist_policy::table::{COLUMNS, RowCells, RowKey, TableRow};
use proptest::prelude::*;
use test_case::test_case;

fn cells(text: &str) -> RowCells {
    text.split(' ')
        .map(|cell| cell.split_once('=').unwrap())
        .map(|(column, cell)| (column.into(), cell.into()))
        .collect()
}

#[test_case("kind=team name=border rate=50/s weight=2" => "ok"; "team")]
#[test_case("kind=service name=vouchers mode=plain repeat=never" => "ok"; "service")]
#[test_case("kind=target name=t1 drain=yes" => "ok"; "target")]
#[test_case("kind=policy name=placement skew_weight=4 map=3" => "ok"; "policy")]
#[test_case("kind=team name=border rate=many" => "rate"; "bad rate")]
#[test_case("kind=team name=border rate=-1/s" => "rate"; "negative rate")]
#[test_case("kind=team name=border weight=NaN" => "weight"; "no number")]
#[test_case("kind=team name=border drain=yes" => "drain"; "another kind's column")]
#[test_case("kind=team name=border colour=red" => "colour"; "unknown column")]
#[test_case("kind=team name=a/b" => "name"; "bad name")]
#[test_case("kind=planet name=a" => "kind"; "bad kind")]
#[test_case("kind=team name=border token=secret" => "token"; "a token that is not hashed")]
fn faulty_column(text: &str) -> String {
    TableRow::from_cells(&cells(text)).map_or_else(|error| error.column, |_row| "ok".to_owned())
}

#[test]
fn token_is_never_shown_in_error() {
    let error = TableRow::from_cells(&cells("kind=team name=border token=secret")).unwrap_err();
    assert!(!error.to_string().contains("secret"));
}

proptest! {
    #[test]
    fn parsing_cells_never_panics(kind in "(team|service|target|policy|.{0,5})", column in 0..COLUMNS.len(), cell in ".{0,40}") {
        let mut cells = RowCells::from([("kind".to_owned(), kind), ("name".to_owned(), "n".to_owned())]);
        cells.insert(COLUMNS[column].to_owned(), cell);
        if let Ok((key, row)) = TableRow::from_cells(&cells) {
            let again = TableRow::from_cells(&row.to_cells(&key)).unwrap();
            prop_assert_eq!(again, (key, row));
        }
    }

    #[test]
    fn parsing_keys_never_panics(text in ".{0,60}") {
        let _key = text.parse::<RowKey>();
    }
}
