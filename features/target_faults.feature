Feature: Broken targets and broken messages between processes

  Scenario: answers of a target that breaks the protocol
    Given a fleet whose plain service breaks the protocol, with answers of at most 65536 bytes
    Then each broken answer becomes a clear refusal
      | answer        | status | code               | outcome         |
      | whole         | 200    |                    |                 |
      | no content    | 204    |                    |                 |
      | empty         | 502    | target_failed      | outcome_unknown |
      | garbage head  | 502    | target_failed      | outcome_unknown |
      | odd status    | 502    | target_failed      | outcome_unknown |
      | cut head      | 502    | target_failed      | outcome_unknown |
      | cut body      | 502    | target_failed      | outcome_unknown |
      | cut chunk     | 502    | target_failed      | outcome_unknown |
      | no length     | 502    | target_failed      | outcome_unknown |
      | two lengths   | 502    | target_failed      | outcome_unknown |
      | odd type      | 502    | target_failed      | outcome_unknown |
      | endless head  | 502    | target_failed      | outcome_unknown |
      | endless event | 200    | target_failed      | outcome_unknown |
      | endless body  | 502    | response_too_large | outcome_unknown |
      | dripping head | 504    | deadline_exceeded  | outcome_unknown |
      | cut stream    | 200    | target_failed      | outcome_unknown |
      | cut event     | 200    | target_failed      | outcome_unknown |
      | error event   | 200    |                    |                 |
    And the agent holds no attempt and the entry no byte

  Scenario: bytes that are no message reach an agent's port
    Given a fleet with 1 engines, 1 plain service and 1 entries
    When raw bytes, garbage frames, wrong kinds, extreme numbers and huge messages reach an agent's port
    Then the agent lives and counted malformed and unexpected messages
    And a booking through that agent is answered

  Scenario: a call that is cancelled before its first turn
    When a call to a target is started and cancelled in one turn
    Then its task reports the end of the call with nothing sent
