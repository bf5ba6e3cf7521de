//! Texts of interruptions. Guards against a loss that another release, or the same one,
//! reads as something else.

use lagoonhill_protocol::{
    Feature, HeldRun, Interruption, LossId, RulesUpdate, TargetIncarnation, TargetLoss,
};
use lagoonhill_rules::ZoneDrain;
use lagoonhill_types::prelude::*;
use quickcheck::{Gen, QuickCheck};

/// Defines one test for each named case.
macro_rules! cases {
    ($($name:ident => $body:block)+) => {
        $(#[test] fn $name() $body)+
    };
}

fn loss(is_confirmed: bool, is_unresolved: bool, number: u32, born_ms: u64) -> TargetLoss {
    let held = if is_confirmed {
        HeldRun::Confirmed {
            before_last_start_ms: DurationMs(u64::from(number)),
            age_ms: DurationMs(born_ms),
            unseen_ms: DurationMs(u64::from(number) / 2),
        }
    } else {
        HeldRun::Unconfirmed
    };
    let incarnation = TargetIncarnation {
        name: "i-4:a.b_c".parse().expect("the name is valid"),
        born_ms,
    };
    let unresolved = is_unresolved.then_some(LossId {
        number,
        incarnation,
    });
    TargetLoss { held, unresolved }
}

cases! {
    losses_round_trip => {
        fn round_trips(is_confirmed: bool, is_unresolved: bool, number: u32, born_ms: u64) -> bool {
            let sent = Interruption::TargetLost(loss(is_confirmed, is_unresolved, number, born_ms));
            Interruption::from(sent.to_string().as_str()) == sent
        }
        QuickCheck::new()
            .rng(Gen::from_size_and_seed(100, 1))
            .quickcheck(round_trips as fn(bool, bool, u32, u64) -> bool);
    }

    earlier_releases_get_the_texts_that_they_know => {
        let text = |is_confirmed| {
            Interruption::TargetLost(loss(is_confirmed, true, 7, 5)).for_earlier_release().to_string()
        };
        assert_eq!(
            text(true),
            "the target crashed while it was at work; started before the last run there by 7ms"
        );
        assert_eq!(text(false), "the target crashed when it was to start");
    }

    truncated_losses_are_no_losses => {
        let text = Interruption::TargetLost(loss(true, true, 7, 5)).to_string();
        for (end, _) in text.char_indices() {
            let found = Interruption::from(&text[..end]);
            let is_whole = matches!(&found, Interruption::TargetLost(found) if *found == loss(true, true, 7, 5));
            assert!(!is_whole, "{}", &text[..end]);
        }
    }

    a_feature_is_neither_rules_nor_a_drain => {
        let update = RulesUpdate::of_feature(Feature::TargetLosses);
        assert_eq!(update.feature(), Some(Feature::TargetLosses));
        assert_eq!(update.zone_drain(), None);
        assert_eq!(update.to, Revision(0));
        let drain = RulesUpdate::of_zone_drain(&ZoneDrain {
            revision: Revision(3),
            zone: "zone".parse().expect("the name is valid"),
            is_drained: true,
        });
        assert_eq!(drain.feature(), None);
    }

    a_feature_of_a_later_release_is_skipped => {
        let mut update = RulesUpdate::of_feature(Feature::TargetLosses);
        update.set = vec!["feature of-a-later-release".to_owned()];
        assert_eq!(update.feature(), None);
    }
}
