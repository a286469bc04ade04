Feature: Faulty targets and malformed messages between processes

  Scenario: responses of a target that violates the protocol
    Given a fleet whose plain service violates the protocol, with responses of at most 65536 bytes
    Then each response leads to the expected status, code and outcome
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
    And the agent holds no attempt and the entry holds no body bytes

  Scenario: malformed and unexpected messages reach an agent's port
    Given a fleet with 1 engines, 1 plain service and 1 entries
    When raw bytes, malformed frames, unexpected kinds, extreme numbers and huge messages reach an agent's port
    Then the agent keeps running and has counted malformed and unexpected messages
    And a booking through that agent succeeds

  Scenario: a call is cancelled before its greenlet first runs
    When a call to a target is cancelled before its greenlet first runs
    Then its task reports the end of the call with nothing sent
