//! HTTP client of the tests.

use super::HOST;
use bytes::Bytes;
use http::Request;
use http_body_util::BodyExt;
use luglink_http::{Body, connect, empty_body, full_body};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Response that a caller received.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TestResponse {
    /// 0 if the connection failed before a response.
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub body: String,
    /// True if the body ended properly.
    pub is_whole: bool,
}

impl TestResponse {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }
}

/// Request of a caller.
#[derive(Clone)]
pub struct TestRequest {
    pub method: &'static str,
    pub path: String,
    pub headers: Vec<(&'static str, String)>,
    pub body: Vec<u8>,
}

impl TestRequest {
    pub fn get(path: &str, id: &str) -> Self {
        Self {
            method: "GET",
            path: path.to_owned(),
            headers: vec![
                ("luglink-request-id", id.to_owned()),
                ("luglink-deadline-ms", "3000".to_owned()),
            ],
            body: Vec::new(),
        }
    }

    pub fn post(path: &str, id: &str, body: impl Into<Vec<u8>>) -> Self {
        Self {
            method: "POST",
            body: body.into(),
            ..Self::get(path, id)
        }
    }

    pub fn with(mut self, name: &'static str, value: impl ToString) -> Self {
        self.headers.retain(|(known, _)| *known != name);
        self.headers.push((name, value.to_string()));
        self
    }

    fn request(self) -> Request<Body> {
        let mut request = Request::builder()
            .method(self.method)
            .uri(self.path)
            .header("host", HOST);
        for (name, value) in self.headers {
            request = request.header(name, value);
        }
        let body = if self.body.is_empty() {
            empty_body()
        } else {
            full_body(self.body)
        };
        request.body(body).unwrap()
    }

    /// Sends the request over a new connection.
    pub async fn send(self, to: SocketAddr) -> TestResponse {
        let Ok(mut connection) = connect(to, Duration::from_secs(2)).await else {
            return TestResponse::default();
        };
        let Ok(response) = connection.send(self.request()).await else {
            return TestResponse::default();
        };
        let (head, mut incoming) = response.into_parts();
        let mut body: Vec<u8> = Vec::new();
        let is_whole = loop {
            match incoming.frame().await {
                Some(Ok(frame)) => body.extend(frame.into_data().unwrap_or_default()),
                Some(Err(_)) => break false,
                None => break true,
            }
        };
        TestResponse {
            status: head.status.as_u16(),
            headers: head
                .headers
                .iter()
                .map(|(name, value)| (name.to_string(), value.to_str().unwrap().to_owned()))
                .collect(),
            body: String::from_utf8(body).unwrap(),
            is_whole,
        }
    }

    /// Sends the request, waits for this many events of the response, and disconnects. Returns all that it
    /// received.
    pub async fn send_and_disconnect_after(self, to: SocketAddr, events: usize) -> String {
        let mut connection = connect(to, Duration::from_secs(2)).await.unwrap();
        let response = connection.send(self.request()).await.unwrap();
        let mut incoming = response.into_body();
        let mut received = String::new();
        while received.matches("\n\n").count() < events {
            let frame = incoming.frame().await.unwrap().unwrap();
            let bytes = frame.into_data().unwrap_or_default();
            received += std::str::from_utf8(&bytes).unwrap();
        }
        received
    }

    /// Sends the request, waits for the first bytes of the response body, and disconnects.
    pub async fn send_and_disconnect(self, to: SocketAddr) -> Bytes {
        let mut connection = connect(to, Duration::from_secs(2)).await.unwrap();
        let response = connection.send(self.request()).await.unwrap();
        let mut incoming = response.into_body();
        let first = incoming.frame().await.unwrap().unwrap();
        first.into_data().unwrap_or_default()
    }
}

pub async fn get(to: SocketAddr, path: &str) -> TestResponse {
    TestRequest::get(path, "check").send(to).await
}

/// Sends a request as an operator and follows one redirect. The method is POST.
pub async fn put(to: SocketAddr, path: &str, body: Vec<u8>) -> TestResponse {
    let response = TestRequest::post(path, "operator", body.clone())
        .send(to)
        .await;
    let Some(location) = response
        .header("location")
        .filter(|_| response.status == 307)
    else {
        return response;
    };
    let address = location
        .trim_start_matches("http://")
        .split('/')
        .next()
        .and_then(|address| address.parse().ok());
    match address {
        Some(address) => {
            TestRequest::post(path, "operator", body)
                .send(address)
                .await
        }
        None => response,
    }
}
