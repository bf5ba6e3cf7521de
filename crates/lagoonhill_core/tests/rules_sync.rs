//! Synchronisation of rules between peers: the revision never decreases, and a
//! peer that is behind catches up.

use lagoonhill_core::RulesSync;
use lagoonhill_rules::{RuleKey, RuleKind, RuleLine, RuleSet, parse_rules};
use lagoonhill_types::prelude::*;
use quickcheck::{Gen, QuickCheck};

fn line(team: u8, rate: u8) -> RuleLine {
    let text = format!("team team{team} rate={}/s  # tests", u32::from(rate) + 1);
    text.parse().expect("the line is valid")
}

fn key(team: u8) -> RuleKey {
    RuleKey {
        kind: RuleKind::Team,
        subject: format!("team{team}"),
    }
}

/// Defines one test for each named case.
macro_rules! cases {
    ($($name:ident => $body:block)+) => {
        $(#[test] fn $name() $body)+
    };
}

fn set(revision: u64, text: &str) -> RuleSet {
    RuleSet::new(
        Revision(revision),
        parse_rules(text).expect("the rules are valid"),
    )
}

cases! {
    a_lower_revision_is_never_installed => {
        let mut sync = RulesSync::default();
        assert!(sync.install(set(5, "team a  # new\n")));
        assert!(!sync.install(set(4, "team b  # old\n")));
        assert!(!sync.install(set(5, "team c  # same\n")));
        assert_eq!(sync.rules().to_text(), "team a  # new\n");
    }

    a_new_peer_gets_all_rules => {
        let mut sync = RulesSync::default();
        sync.install(set(1, "team a  # x\n"));
        sync.install(set(2, "team a  # x\nteam b  # y\n"));
        let mut new_peer = RulesSync::default();
        assert!(new_peer.install_update(&sync.update_for(Revision(0)).expect("no update for a peer that is behind")));
        assert_eq!(new_peer.rules(), sync.rules());
    }

    a_peer_slightly_behind_gets_only_the_changes => {
        let mut sync = RulesSync::default();
        sync.install(set(1, "team a  # x\nteam b  # y\n"));
        sync.install(set(2, "team a  # x\nteam b rate=1/s  # y\n"));
        let update = sync.update_for(Revision(1)).expect("no update for a peer that is behind");
        assert_eq!((update.set.len(), update.removed.len()), (1, 0));
    }

    nothing_is_sent_to_a_peer_that_is_not_behind => {
        let mut sync = RulesSync::default();
        sync.install(set(3, "team a  # x\n"));
        assert_eq!(sync.update_for(Revision(3)), None);
        assert_eq!(sync.update_for(Revision(9)), None);
    }

    an_update_with_a_damaged_line_changes_nothing => {
        let mut sync = RulesSync::default();
        sync.install(set(3, "team a  # x\n"));
        let mut update = lagoonhill_protocol::RulesUpdate {
            from: Revision(3),
            to: Revision(4),
            set: vec!["team b nonsense".to_owned()],
            removed: Vec::new(),
        };
        assert!(!sync.install_update(&update));
        update.set = vec!["team b  # y".to_owned()];
        assert!(sync.install_update(&update));
    }

    random_edits_reach_every_peer_whatever_it_missed => {
        fn converges(edits: Vec<(u8, Option<u8>, u8)>) -> bool {
            let mut rules = set(1, "team seed  # x\n");
            let mut source = RulesSync::default();
            source.install(rules.clone());
            let mut peers: Vec<RulesSync> = (0..4).map(|_| RulesSync::default()).collect();
            for (team, rate, receiver) in edits {
                let team = team % 6;
                rules.put(key(team), rate.map(|rate| line(team, rate)));
                rules.revision = rules.revision.next();
                source.install(rules.clone());
                let peer = &mut peers[usize::from(receiver % 4)];
                if let Some(update) = source.update_for(peer.revision()) {
                    peer.install_update(&update);
                }
            }
            // Each peer updates the next one, then all get updates from the source.
            for index in 0..4 {
                let update = peers[index].update_for(peers[(index + 1) % 4].revision());
                if let Some(update) = update {
                    peers[(index + 1) % 4].install_update(&update);
                }
            }
            peers.iter_mut().all(|peer| {
                if let Some(update) = source.update_for(peer.revision()) {
                    peer.install_update(&update);
                }
                peer.rules() == source.rules()
            })
        }
        QuickCheck::new()
            .rng(Gen::from_size_and_seed(120, 6))
            .tests(500)
            .quickcheck(converges as fn(Vec<(u8, Option<u8>, u8)>) -> bool);
    }
}
