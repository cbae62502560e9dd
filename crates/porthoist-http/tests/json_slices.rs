//! Tests of splitting JSON texts into their parts.

use porthoist_http::{JsonMember, SplitError, split_array, split_object};
use test_case::test_case;

/// Deep enough to overflow the stack of a test's thread with a recursive parser.
const DEPTH: usize = 1_000_000;

fn nested(depth: usize) -> Vec<u8> {
    [vec![b'['; depth], vec![b']'; depth]].concat()
}

#[test_case(b"[]", &[]; "no items")]
#[test_case(b" [ ] \n", &[]; "no items with space")]
#[test_case(b"[1,-1e999 , true,null]", &[b"1", b"-1e999", b"true", b"null"]; "literals")]
#[test_case(br#"["]","\"]","\\","\ud800",""]"#, &[br#""]""#, br#""\"]""#, br#""\\""#, br#""\ud800""#, b"\"\""]; "strings with brackets and escapes")]
#[test_case(br#"[{"a":"}"},[[],{}],{ "b" : [ 1 , 2 ] }]"#, &[br#"{"a":"}"}"#, b"[[],{}]", br#"{ "b" : [ 1 , 2 ] }"#]; "objects and arrays")]
#[test_case(b"[\"\xff\xfe\",\"\xc3\xa4\"]", &[b"\"\xff\xfe\"", b"\"\xc3\xa4\""]; "bytes that are no text")]
#[test_case(b"[{,:},tru]", &[b"{,:}", b"tru"]; "invalid items")]
fn arrays_are_split_into_items(text: &[u8], items: &[&[u8]]) {
    assert_eq!(split_array(text), Ok(items.to_vec()));
}

#[test_case(b"", SplitError::Truncated; "nothing")]
#[test_case(b"[", SplitError::Truncated; "only a bracket")]
#[test_case(b"[1", SplitError::Truncated; "no end")]
#[test_case(b"[1,", SplitError::Truncated; "no item after a comma")]
#[test_case(b"[\"]", SplitError::Truncated; "a string without an end")]
#[test_case(b"[\"\\", SplitError::Truncated; "an escape without an end")]
#[test_case(b"[{\"a\":[1}]", SplitError::Unexpected(8); "brackets that do not match")]
#[test_case(b"[}", SplitError::Unexpected(1); "an end without a beginning")]
#[test_case(b"[1,]", SplitError::Unexpected(3); "a comma at the end")]
#[test_case(b"[,1]", SplitError::Unexpected(1); "a comma at the beginning")]
#[test_case(b"[1 2]", SplitError::Unexpected(3); "no comma between items")]
#[test_case(b"[1]]", SplitError::Unexpected(3); "more after the end")]
#[test_case(b"{}", SplitError::Unexpected(0); "an object")]
#[test_case(b"[\x00]", SplitError::Unexpected(1); "a byte that begins no value")]
fn text_that_is_no_array_is_not_split(text: &[u8], error: SplitError) {
    assert_eq!(split_array(text), Err(error));
}

#[test]
fn objects_are_split_into_members() {
    let text = br#" { "a" : [ 1 ] , "\u0062":"x","a":{}, "\ud800" : 1e999 } "#;
    let member = |name: &'static str, value: &'static [u8]| JsonMember { name: name.into(), value };
    let members =
        [member("a", b"[ 1 ]"), member("b", b"\"x\""), member("a", b"{}"), member("\\ud800", b"1e999")];
    assert_eq!(split_object(text), Ok(members.to_vec()));
    assert_eq!(split_object(b"{}"), Ok(Vec::new()));
}

#[test_case(b"{\"a\"}", SplitError::Unexpected(4); "no value")]
#[test_case(b"{\"a\":}", SplitError::Unexpected(5); "an empty value")]
#[test_case(b"{a:1}", SplitError::Unexpected(1); "a name without quotes")]
#[test_case(b"{\"a\":1", SplitError::Truncated; "no end")]
#[test_case(b"[]", SplitError::Unexpected(0); "an array")]
#[test_case(b"17", SplitError::Unexpected(0); "a number")]
fn text_that_is_no_object_is_not_split(text: &[u8], error: SplitError) {
    assert_eq!(split_object(text), Err(error));
}

/// Guards against a stack that overflows at deep nesting.
#[test]
fn deep_nesting_is_split() {
    let deep = nested(DEPTH);
    let text = [b"[1,", deep.as_slice(), b",2]"].concat();
    assert_eq!(split_array(&text), Ok(vec![b"1".as_slice(), &deep, b"2"]));
    assert_eq!(split_array(&deep[..DEPTH]), Err(SplitError::Truncated));
}
