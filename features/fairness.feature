Feature: Weighted fair queueing between organisations at a target, on a fake clock

  Scenario Outline: an organisation that overloads the target does not delay one within its share
    Given organisations with weights flood <flood>, small <small>
    And flood sends requests of up to 500 tokens at twice the target's speed, seed <seed>
    And small sends a request of 2000 tokens at half its share
    When the target runs 200 requests under the fair order
    Then small waits no longer than its share allows
    When the target runs 200 requests under the order without fairness
    Then small waits longer than that

    Examples:
      | flood | small | seed |
      | 1     | 1     | 0    |
      | 3     | 1     | 1    |

  Scenario Outline: started tokens follow the weights
    Given organisations with weights one <one>, other <other>
    And one keeps requests of up to <one_tokens> tokens waiting, seed <seed>
    And other keeps requests of up to <other_tokens> tokens waiting, seed <seed>
    When the target runs 300 requests under the fair order
    Then one and other stay within one largest request of their shares
    When the target runs 300 requests under the order without fairness
    Then one and other do not stay within that

    Examples:
      | one | other | one_tokens | other_tokens | seed |
      | 1   | 3     | 1000       | 4000         | 0    |
      | 1   | 1     | 4000       | 1000         | 1    |

  Scenario: an idle organisation accumulates no credit
    Given organisations with weights one 1, late 1
    And one keeps requests of up to 1000 tokens waiting, seed 0
    When the target runs 300 requests under the fair order
    And late keeps requests of up to 1000 tokens waiting, seed 1
    And the target runs 100 more requests
    Then one and late stay within one largest request of their shares

  Scenario: accepted weights take effect
    Given organisations with weights one 1, other 1
    And one keeps requests of up to 1000 tokens waiting, seed 0
    And other keeps requests of up to 1000 tokens waiting, seed 1
    When the target runs 100 requests under the fair order
    And an inventory with weights one 1, other 3 is accepted
    And the target runs 300 more requests
    Then one and other stay within 2 largest requests of their shares

  Scenario: a listed organisation within its share comes first
    Given organisations with weights one 1, other 1, first 1
    And rules that list first, other
    And one keeps requests of up to 500 tokens waiting, seed 0
    And other keeps requests of up to 500 tokens waiting, seed 1
    And first sends a request of 2000 tokens at half its share
    When the target runs 200 requests under the fair order
    Then each request of first is the next to start
    When the rules list no organisation and the target runs 200 requests
    Then a request of first is not the next to start

  Scenario: a listed organisation does not starve the others
    Given organisations with weights one 1, first 3
    And rules that list first
    And one keeps requests of up to 1000 tokens waiting, seed 0
    And first keeps requests of up to 1000 tokens waiting, seed 1
    When the target runs 300 requests under the fair order
    Then one and first stay within 2 largest requests of their shares

  Scenario: organisations that wait together get equal service for their weight
    Then generated arrivals, starts and withdrawals stay within the bound of start-time fair queueing
    And the order without fairness exceeds it
