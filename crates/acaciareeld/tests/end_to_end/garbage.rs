//! Malformed and random input on the ports of daemons.

use std::time::Duration;

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpStream, UdpSocket},
    time,
};

use crate::env::{CALLER_TOKEN, OPERATOR_TOKEN, TestEnv, WORKER_TOKEN};

const ROUNDS: u64 = 40;

/// Returns pseudo-random bytes that depend on the seed (xorshift).
fn pseudo_random_bytes(seed: u64, length: usize) -> Vec<u8> {
    let mut state = seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1;
    let next = || {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        state.to_le_bytes()[3]
    };
    std::iter::repeat_with(next).take(length).collect()
}

fn http_request(line: &str, token: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "{line} HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {token}\r\n{headers}\
         Content-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

/// Returns HTTP input that a faulty or malicious caller, operator or worker may send: malformed
/// heads, bodies and header values.
fn malformed_http_requests(round: u64) -> Vec<Vec<u8>> {
    let noise = pseudo_random_bytes(round, 2_000);
    let deep = "[".repeat(100_000);
    let text = |text: &str| text.as_bytes().to_vec();
    vec![
        noise.clone(),
        text("GET /v1/status HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999999999999\r\n\r\n"),
        text(
            "POST /v1/requests/lookup HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nFFFFFFFFF\r\n",
        ),
        http_request("PUT /v1/tables", OPERATOR_TOKEN, "", &noise),
        http_request("PUT /v1/tables", OPERATOR_TOKEN, "", deep.as_bytes()),
        http_request("PUT /v1/log-level", OPERATOR_TOKEN, "", &noise),
        http_request(
            "POST /v1/workers/announce",
            WORKER_TOKEN,
            "",
            deep.as_bytes(),
        ),
        http_request("POST /v1/workers/announce", WORKER_TOKEN, "", &noise),
        http_request(
            "POST /v1/tasks/x:1:2/result",
            WORKER_TOKEN,
            "",
            b"{\"worker\":1}",
        ),
        http_request("POST /v1/workers/%ff%00/drain", OPERATOR_TOKEN, "", b""),
        http_request(
            "POST /v1/requests/lookup",
            CALLER_TOKEN,
            "Acaciareel-Tenant: \u{1}\r\nAcaciareel-Attempt: -1\r\n",
            &noise,
        ),
        http_request(
            "POST /v1/requests/lookup",
            CALLER_TOKEN,
            "Acaciareel-Tenant: t\r\nIdempotency-Key: k\r\nAcaciareel-Time-Limit-Ms: 1e99\r\n",
            b"",
        ),
    ]
}

/// Sends bytes and waits up to 20 ms for a response, which is ignored.
async fn send_bytes(address: std::net::SocketAddr, garbage: &[u8]) {
    let Ok(mut stream) = TcpStream::connect(address).await else {
        return;
    };
    // Writing fails if the daemon closes the connection early.
    let _ = stream.write_all(garbage).await;
    let mut answer = [0; 512];
    let _ = time::timeout(Duration::from_millis(20), stream.read(&mut answer)).await;
}

/// Guards against a caller, worker or peer whose malformed input stops a daemon or the requests of
/// others.
#[tokio::test(flavor = "multi_thread")]
async fn garbage_stops_no_daemon_and_no_request() {
    let mut env = TestEnv::start(crate::ONE_DOMAIN, &[]).await;
    let (http, peers) = env.addresses(0);
    let udp = UdpSocket::bind("127.0.0.1:0").await.expect("socket");
    let attack = tokio::spawn(async move {
        for round in 0..ROUNDS {
            for garbage in malformed_http_requests(round) {
                send_bytes(http, &garbage).await;
            }
            for size in [1, 20, 1_200, 9_000] {
                let mut datagram = pseudo_random_bytes(round, size);
                // In half of the rounds, datagrams start with a long header of QUIC version 1, so
                // that the daemon parses more of them.
                if round % 2 == 0 && size > 6 {
                    datagram[..5].copy_from_slice(&[0xC3, 0, 0, 0, 1]);
                }
                udp.send_to(&datagram, peers).await.expect("sent datagram");
            }
        }
    });

    let mut number = 0;
    while number < 10 || !attack.is_finished() {
        let body = format!("clean-{number}");
        let answer = env.submit_until_ran(&[0], "credit", &body, &body).await;
        assert_eq!(answer.text(), format!("credit:{body}"));
        assert_eq!(env.starts(&body), 1, "{body}");
        number += 1;
    }
    attack.await.expect("complete attack");

    assert_eq!(env.status(0).await["active_workers"], 2);
    env.signal(0, "TERM");
    assert_eq!(env.wait_for_exit(0).await.code(), Some(0));
}
