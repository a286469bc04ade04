Feature: Placement of direct attempts, on a fake clock

  Scenario: short answers are packed on few engines, long prompts use other engines
    Given a dispatcher before 6 engines
    When 5 short prompts have begun to decode
    Then they are on at most 2 engines
    When a prompt of 210000 tokens is placed
    Then its prefill runs on engines that decode no short answer
    And on more than 2 engines

  Scenario: a full engine receives no more short prompts
    Given a dispatcher before 3 engines
    When 18 short prompts have begun to decode
    Then no engine has more than 7 of them

  Scenario: the prefill of 45000 tokens does not delay short answers
    Given a dispatcher before 2 engines
    When 3 short prompts have begun to decode
    And a prompt of 45000 tokens is placed
    Then its prefill runs on engines that decode no short answer

  Scenario: entries that send each other hints avoid engines with a long prefill
    Given 2 dispatchers before 20 engines
    When the first places a prompt of 400000 tokens
    And it sends a hint to the second
    And the second places 6 short prompts
    Then none is on an engine that prefills the long prompt

  Scenario: a long prompt is not prefilled where it delays another one
    Given 2 dispatchers before 20 engines
    When the first places a prompt of 400000 tokens
    And it sends a hint to the second
    And the second places a prompt of 210000 tokens
    Then its prefill runs on engines that do not prefill the other
    And 2000 ms of additional prefill beside the first count as a loss at both

  Scenario: an entry without hints still places attempts
    Given 2 dispatchers before 4 engines
    When the first places a prompt of 400000 tokens
    And the second places 6 short prompts
    Then all are placed

  Scenario: load of an entry that sends no more hints is removed
    Given 2 dispatchers before 4 engines
    When the first places a prompt of 400000 tokens
    And it sends a hint to the second
    And 4 seconds pass
    Then the second knows no load and no peer

  Scenario: a hint that arrives out of order is ignored
    Given 2 dispatchers before 4 engines
    When the first places a prompt of 400000 tokens
    And it ends, and the hints arrive out of order
    Then the second knows no load

  Scenario: hints of a restarted entry replace those of its last incarnation
    Given 2 dispatchers before 4 engines
    When the first places a prompt of 400000 tokens
    And it sends a hint to the second
    And the first restarts and sends a hint to the second
    Then the second knows no load

  Scenario: entries discover each other through a seed
    Given 4 dispatchers before 4 engines with the first as their only seed
    When every entry sends a full hint, 3 times
    Then every entry knows all others

  Scenario: a target that fails often receives few requests
    Given a dispatcher before 4 plain targets
    When the first target fails 5 times
    And 40 requests are placed one after the other
    Then the first target received at most 5 of them

  Scenario: an unresponsive target is paused and then used again
    Given a dispatcher before 2 plain targets
    When the first target does not answer
    Then it receives nothing for 0.9 seconds
    And it receives requests again after 30 seconds

  Scenario: a cold engine receives this entry's share of the allowed rate
    Given a dispatcher before 3 engines of which the first is cold for 3 seconds
    When 60 short prompts are placed within 2 seconds
    Then the first engine received at most 2 of them

  Scenario: a large fleet is sampled, and every target is used
    Given a dispatcher before 1000 plain targets
    When 3000 requests are placed one after the other
    Then at least 900 targets received some of them
    When all but the first target drain
    And 5 requests are placed one after the other
    Then the first target received all 5 of them

  Scenario: retries stop when the budget is exhausted
    Given a dispatcher before 4 plain targets
    When 100 requests each ask for a retry
    Then at most 20 retries are placed

  Scenario: a target whose address has moved to another is paused until the fleet is updated
    Given a dispatcher before 2 plain targets
    When another target answers at the address of the first
    Then it receives nothing for 0.9 seconds

  Scenario: entries that have just started together do not overload the same engines
    Given 8 dispatchers before 12 engines that have just started
    When each places 5 short prompts before any receives a hint
    Then no engine has more short prompts than its 8 slots

  Scenario: entries that know each other pack short answers
    Given 8 dispatchers before 12 engines
    When the first places 5 short prompts that begin to decode
    Then they are on at most 2 engines
