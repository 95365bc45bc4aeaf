//! Control members as holders of crash reports.
//!
//! They answer gateways that reach no quorum of turn stores. A majority of all members is needed, under
//! one version of their membership.

use crate::store_link::StoreLink;
use luglink_fleet::{MemberList, StoreName};
use luglink_turns::HolderView;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::rc::Rc;

/// Links to all control members, as the gateway knows them.
#[derive(Debug)]
pub(crate) struct ReportMembers {
    port: u16,
    list: RefCell<MemberList>,
    links: RefCell<BTreeMap<Ipv4Addr, Rc<StoreLink>>>,
}

impl ReportMembers {
    /// Creates the links to members that listen at `port`. No member is known yet.
    pub(crate) fn new(port: u16) -> Self {
        Self {
            port,
            list: RefCell::default(),
            links: RefCell::default(),
        }
    }

    /// Sets the list of the members, unless a newer one is known.
    pub(crate) fn set_list(&self, list: &MemberList) {
        if list.stamp <= self.list.borrow().stamp {
            return;
        }
        let mut links = self.links.borrow_mut();
        let is_listed = |ip: &Ipv4Addr| list.locations.iter().any(|member| member.ip == *ip);
        links.retain(|ip, _| is_listed(ip));
        for member in &list.locations {
            links.entry(member.ip).or_insert_with(|| {
                let address = (member.ip, self.port).into();
                let name = StoreName(member.ip.to_string());
                Rc::new(StoreLink::open_to_member(name, address))
            });
        }
        *self.list.borrow_mut() = list.clone();
    }

    /// Returns the links to all members.
    pub(crate) fn links(&self) -> Vec<Rc<StoreLink>> {
        self.links.borrow().values().cloned().collect()
    }

    /// Returns true if `link` is the present link to a member.
    pub(crate) fn has_link(&self, link: &Rc<StoreLink>) -> bool {
        let links = self.links.borrow();
        links.values().any(|present| Rc::ptr_eq(present, link))
    }

    /// Returns the number of members that are a majority.
    pub(crate) fn quorum(&self) -> usize {
        self.links.borrow().len() / 2 + 1
    }

    /// Returns the version of the membership under which members are asked.
    pub(crate) fn view(&self) -> HolderView {
        HolderView::Members(self.list.borrow().stamp.membership)
    }
}
