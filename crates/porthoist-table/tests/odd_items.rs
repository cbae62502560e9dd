//! Tests of feeds with an item that can't be read: the others still count.

use porthoist_http::body::typed_response;
use porthoist_http::{ServerSettings, serve_until};
use porthoist_operator::edit::config_change;
use porthoist_table::{HostRole, HttpPlatform, PlatformClient as _};
use std::sync::Arc;
use test_case::test_case;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// A platform that answers each call with the same text; `@` stands for deep nesting.
async fn platform(text: &str) -> HttpPlatform {
    let text: Arc<str> = text.replace('@', &["[".repeat(20_000), "]".repeat(20_000)].concat()).into();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let stop = watch::Sender::new(false);
        serve_until(listener, ServerSettings::default(), stop.subscribe(), move |_request| {
            let text = Arc::clone(&text);
            async move { typed_response(hyper::StatusCode::OK, "application/json", text.to_string()) }
        })
        .await;
    });
    HttpPlatform::new(format!("http://{address}"))
}

const SOUND_ITEM: &str = r#"{"key":"config/policy/a","version":3,"value":null}"#;

/// Guards against a configuration that is not followed because of one row.
#[test_case(r#"{"key":"config/policy/m","version":3,"value":1e999}"#, "config/policy/m"; "a number too large")]
#[test_case(r#"{"key":"config/policy/m","version":3,"value":@}"#, "config/policy/m"; "deep nesting")]
#[test_case(r#"{"key":"config/policy/m","version":3,"value":"\ud800"}"#, "config/policy/m"; "a lone surrogate")]
#[test_case(r#"{"key":"config/policy/m","version":-1,"value":{"cells":1e999}}"#, "config/policy/m"; "an odd version")]
#[test_case(r#"{"key":7,"version":3,"value":null}"#, ""; "no readable key")]
#[test_case("17", ""; "no object")]
#[tokio::test]
async fn unreadable_item_hides_no_other(odd: &str, key: &str) {
    let text = format!("{{\"since\":1,\"revision\":4,\"items\":[{SOUND_ITEM},{odd},{SOUND_ITEM}]}}");
    let feed = platform(&text).await.changes("config/", 1).await.unwrap();
    let (change, unreadable) = config_change(feed);
    assert_eq!((change.since, change.revision, change.rows.len()), (1, 4, 2));
    assert_eq!(unreadable, [key]);
}

/// Guards against a host list that is not followed because of one entry.
#[test_case("{\"host\":1e999}"; "a number too large")]
#[test_case("@"; "deep nesting")]
#[test_case("\"\\ud800\""; "a lone surrogate")]
#[test_case("{}"; "no fields")]
#[tokio::test]
async fn unreadable_host_hides_no_other(odd: &str) {
    let host = r#"{"host":"h","name":"t","zone":"a","role":"target","address":"127.0.0.1:9","state":"live"}"#;
    let text = format!("{{\"revision\":4,\"hosts\":[{odd},{host}]}}");
    let feed = platform(&text).await.hosts(1).await.unwrap();
    assert_eq!((feed.revision, feed.unreadable), (4, 1));
    let hosts = feed.hosts.unwrap();
    assert_eq!(hosts.iter().map(|host| host.role).collect::<Vec<_>>(), [HostRole::Target]);
}

/// Guards against a list that is taken for empty because it has not changed.
#[test_case("{\"revision\":4,\"hosts\":null}"; "null")]
#[test_case("{\"revision\":4}"; "left out")]
#[tokio::test]
async fn unchanged_host_list_is_absent(text: &str) {
    assert_eq!(platform(text).await.hosts(4).await.unwrap().hosts, None);
}
