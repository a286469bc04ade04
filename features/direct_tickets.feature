Feature: Prompts larger than an engine's memory

  Background:
    Given an entry before 1 app servers and 4 llm servers

  Scenario: memory is set aside before the request and given back after it
    When a caller streams a prompt of 600000 tokens
    Then the caller has events 1 to 4 once each, and the end
    And memory was set aside before the request came, and named in it
    And with the engine's own it holds 600000 tokens
    And nothing stays set aside

  Scenario: a prompt that fits sets nothing aside
    When a caller streams a prompt of 200000 tokens
    Then the caller has events 1 to 4 once each, and the end
    And no order was given

  Scenario: a lease is renewed while the answer runs
    Given llm servers write an event each 0.6 seconds
    When a caller streams a prompt of 600000 tokens
    Then the caller has events 1 to 4 once each, and the end
    And each reservation was renewed in time
    And nothing stays set aside

  Scenario: engines that give no memory lead to an honest refusal
    Given llm servers refuse orders
    When a caller streams a prompt of 600000 tokens
    Then the answer is 503
    And no request ran more than 0 times
    And nothing stays set aside

  Scenario: a caller that leaves frees the memory
    Given the next llm servers do: hang
    When a caller streams a prompt of 600000 tokens and leaves
    Then nothing stays set aside

  Scenario: an entry that dies leaves nothing set aside
    Given the next llm servers do: hang
    When a caller streams a prompt of 600000 tokens and the entry dies
    Then nothing stays set aside after 2 seconds

  Scenario: a prompt larger than all engines together is refused
    When a caller streams a prompt of 4000000 tokens
    Then the answer is 503
    And no request ran more than 0 times

  Scenario: memory is given back while a renewal is under way
    Given the next llm servers do: hang
    And llm servers answer orders after 0.3 seconds
    When a caller streams a prompt of 600000 tokens and leaves 0.6 seconds later
    Then each ticket is released within 1.5 seconds
    And no task of the entry failed

  Scenario: several tickets are given back when engines refuse slowly
    Given llm servers refuse orders
    And llm servers answer orders after 0.3 seconds
    When a caller streams a prompt of 1200000 tokens
    Then the answer is 503
    And each ticket is released within 1.5 seconds
    And no task of the entry failed

  Scenario Outline: an engine that gives no memory is passed over, the others stay in use
    Given an llm server that <fault>
    When a caller streams prompts of 600000 tokens until that one was asked for memory
    Then each caller has events 1 to 4 once each, and the end
    And no engine but that one was paused
    And nothing stays set aside

    Examples:
      | fault                  |
      | refuses orders         |
      | breaks off each order  |
