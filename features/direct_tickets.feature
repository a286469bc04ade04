Feature: Prompts larger than an engine's memory

  Background:
    Given an entry before 1 app servers and 4 llm servers

  Scenario: memory is reserved before the request and released after it
    When a caller streams a prompt of 600000 tokens
    Then the caller has events 1 to 4 once each, and the end
    And memory was reserved before the request came, which names the reservation
    And the reservations and the engine's own memory hold 600000 tokens
    And no memory stays reserved

  Scenario: a prompt that fits one engine reserves nothing
    When a caller streams a prompt of 200000 tokens
    Then the caller has events 1 to 4 once each, and the end
    And no order was sent

  Scenario: a lease is renewed while the response is streamed
    Given llm servers write an event each 0.6 seconds
    When a caller streams a prompt of 600000 tokens
    Then the caller has events 1 to 4 once each, and the end
    And each reservation was renewed in time
    And no memory stays reserved

  Scenario: a request is refused when no engine grants memory
    Given llm servers refuse orders
    When a caller streams a prompt of 600000 tokens
    Then the answer is 503
    And no request ran more than 0 times
    And no memory stays reserved

  Scenario: memory is released when the caller disconnects
    Given the next llm servers do: hang
    When a caller streams a prompt of 600000 tokens and disconnects
    Then no memory stays reserved

  Scenario: leases expire when the entry is killed
    Given the next llm servers do: hang
    When a caller streams a prompt of 600000 tokens and the entry is killed
    Then no memory is reserved after 2 seconds

  Scenario: a prompt larger than all engines together is refused
    When a caller streams a prompt of 4000000 tokens
    Then the answer is 503
    And no request ran more than 0 times

  Scenario: memory is released during a renewal
    Given the next llm servers do: hang
    And llm servers answer orders after 0.3 seconds
    When a caller streams a prompt of 600000 tokens and disconnects 0.6 seconds later
    Then each reservation is released within 1.5 seconds
    And no task of the entry failed

  Scenario: several reservations are released when engines refuse slowly
    Given llm servers refuse orders
    And llm servers answer orders after 0.3 seconds
    When a caller streams a prompt of 1200000 tokens
    Then the answer is 503
    And each reservation is released within 1.5 seconds
    And no task of the entry failed

  Scenario Outline: an engine that grants no memory is excluded, the others stay in use
    Given an llm server that <fault>
    When a caller streams prompts of 600000 tokens until that server received an order
    Then each caller has events 1 to 4 once each, and the end
    And no other engine was paused
    And no memory stays reserved

    Examples:
      | fault                  |
      | refuses orders         |
      | breaks off each order  |

  Scenario: memory is released soon after the engine that runs the request falls silent
    Given the routes' time limit is 15000 ms
    And the next llm servers do: hang
    And llm servers answer orders after 0.07 seconds
    When a caller streams a prompt of 600000 tokens whose engine falls silent while it runs the request
    Then the memory set aside for it is released within 6 renewals
    And the log says how long its engine had been silent

  Scenario: memory is released soon after the engine cuts off a caller that reads nothing
    Given the routes' time limit is 15000 ms
    And llm servers send 10000 events of 16 KB
    When a caller streams a prompt of 600000 tokens, reads nothing, and its engine cuts it off
    Then the memory set aside for it is released within 7 renewals

  Scenario: memory is released soon after an engine falls silent that the request never reaches
    Given the routes' time limit is 15000 ms
    And the next llm servers do: hang
    And llm servers answer orders after 0.07 seconds
    When a caller streams a prompt of 600000 tokens whose engine falls silent before the request reaches it
    Then the memory set aside for it is released within 6 renewals
    And the log says how long its engine had been silent
