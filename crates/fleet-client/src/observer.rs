//! The observing loop.

use luglink_control::{Request, Response};
use luglink_fleet::{Known, News, Observation, Presence};
use luglink_net::RequestClient;
use luglink_wire::{ClientRole, Hello, PROTOCOL_VERSION, decode_body, encode_body};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time beyond the usual wait for news after which a member counts as silent.
const ANSWER_LIMIT: Duration = Duration::from_millis(900);

/// Pause after a question that failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(150);

/// Shortest time between two questions to one member.
const QUESTION_INTERVAL: Duration = Duration::from_millis(30);

/// Time for which a member that nobody names any more is still asked.
const FORGET_ROUNDS: u32 = 40;

/// What the observer speaks for.
pub trait Subject: 'static {
    /// The process's word of itself.
    fn presence(&self) -> Presence;

    /// What the process knows.
    fn known(&self) -> Known;

    /// Takes news. `member` is the control member that tells them.
    fn on_news(&self, member: SocketAddr, news: News);
}

/// Where control members are.
#[derive(Clone, Debug)]
pub struct ObserverConfig {
    /// Members to begin with.
    pub seeds: Vec<SocketAddr>,
    /// Internal port of all members.
    pub member_port: u16,
}

/// Asks every known control member again and again.
#[derive(Debug)]
pub struct Observer<S> {
    subject: Rc<S>,
    config: ObserverConfig,
    members: RefCell<BTreeMap<SocketAddr, actix_rt::task::JoinHandle<()>>>,
}

impl<S: Subject> Observer<S> {
    /// Starts to ask the seeds.
    pub fn start(subject: Rc<S>, config: ObserverConfig) -> Rc<Self> {
        let observer = Rc::new(Self {
            subject,
            config: config.clone(),
            members: RefCell::default(),
        });
        observer.add(&config.seeds);
        observer
    }

    /// Asks these members too.
    pub fn add(self: &Rc<Self>, members: &[SocketAddr]) {
        for member in members {
            if !self.members.borrow().contains_key(member) {
                tracing::info!(%member, "observing a control member");
                let task = actix_rt::spawn(Rc::clone(self).ask_again_and_again(*member));
                self.members.borrow_mut().insert(*member, task);
            }
        }
    }

    async fn ask_again_and_again(self: Rc<Self>, member: SocketAddr) {
        let hello = Hello {
            version: PROTOCOL_VERSION,
            role: ClientRole::Observer,
            id: 0,
        };
        let client = RequestClient::open(member, hello);
        let mut failures = 0;
        let mut heard = false;
        let mut usual = Duration::ZERO;
        while failures < FORGET_ROUNDS || self.config.seeds.contains(&member) {
            let asked = Instant::now();
            match self.ask(&client, ANSWER_LIMIT + usual * 2).await {
                Some(news) => {
                    usual = asked.elapsed();
                    if !heard {
                        tracing::info!(%member, fresh = news.fresh, "control member regained");
                    }
                    heard = true;
                    failures = 0;
                    self.learn(&news);
                    self.subject.on_news(member, news);
                    actix_rt::time::sleep(QUESTION_INTERVAL).await;
                }
                None => {
                    if heard {
                        tracing::warn!(%member, "control member lost");
                    }
                    heard = false;
                    failures += 1;
                    actix_rt::time::sleep(FAILURE_PAUSE).await;
                }
            }
        }
        tracing::info!(%member, "control member forgotten");
        self.members.borrow_mut().remove(&member);
    }

    async fn ask(&self, client: &RequestClient, limit: Duration) -> Option<News> {
        let request = Request::Observe(Box::new(Observation {
            presence: self.subject.presence(),
            known: self.subject.known(),
        }));
        let body = encode_body(&request).ok()?;
        let answer = client.request(body, limit).await.ok()?;
        match decode_body(&answer).ok()? {
            Response::News(news) => Some(*news),
            _ => None,
        }
    }

    fn learn(self: &Rc<Self>, news: &News) {
        let port = self.config.member_port;
        let members: Vec<SocketAddr> = news
            .members
            .iter()
            .map(|member| SocketAddr::new(IpAddr::V4(*member), port))
            .collect();
        self.add(&members);
    }
}
