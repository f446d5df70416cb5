//! The documented table of result codes matches the program.

use std::collections::BTreeMap;

use pomelostack_lib::not_run::NotRunProof;
use pomelostack_lib::not_run::NotRunRefusal;
use pomelostack_lib::result_code::RequestOutcome;
use pomelostack_lib::result_code::ResultCode;

/// Returns the name, outcome, HTTP status and proof of each documented code, by number.
fn documented_codes() -> BTreeMap<u16, (String, String, u16, String)> {
    let page = include_str!("../../docs/RESULT_CODES.md");
    let rows = page.lines().filter_map(|line| line.strip_prefix("| "));
    rows.filter_map(|row| {
        let cells: Vec<&str> = row.split(" | ").map(str::trim).collect();
        let number = cells[0].parse().ok()?;
        let proof = cells[5].trim_end_matches('|').trim().to_string();
        Some((number, (cells[1].into(), cells[2].into(), cells[3].parse().ok()?, proof)))
    })
    .collect()
}

#[test]
fn documented_table() {
    let documented = documented_codes();
    let numbers: Vec<u16> = ResultCode::ALL.iter().map(|code| code.number()).collect();
    assert_eq!(documented.keys().copied().collect::<Vec<_>>(), numbers);
    for code in ResultCode::ALL {
        let (name, outcome, status, proof) = &documented[&code.number()];
        assert_eq!(*name, format!("{code:?}"));
        assert_eq!(*outcome, code.outcome().to_string());
        assert_eq!(*status, code.http_status());
        assert_eq!(proof.is_empty(), code.outcome() != RequestOutcome::NotRun, "{code}");
    }
}

#[test]
fn numbered_codes() {
    for &code in ResultCode::ALL {
        assert_eq!(ResultCode::from_number(code.number()), Some(code));
    }
    assert_eq!(ResultCode::from_number(999), None);
}

#[test]
fn proven_refusals() {
    for &code in ResultCode::ALL {
        let refusal = NotRunRefusal::new(code, NotRunProof::NeverDispatched);
        assert_eq!(refusal.is_some(), code.outcome() == RequestOutcome::NotRun, "{code}");
    }
}
