Feature: A copy of a refusal is never taken for the answer to a request

  Scenario Outline: a request goes twice to an address that another server took, and runs once
    Given an entry before 1 app servers and 1 llm servers
    And 2 app servers and 2 llm servers in another zone
    And servers write each refusal once more: <moment>
    When a caller sends <sends> until 3 met a server that took the address of one that ended
    Then no request ran more than once
    And a status that states that the request did not run is true
    And no answer is 200 without being the whole answer to its request

    Examples:
      | moment           | sends   |
      | at_once          | writes  |
      | while_idle       | writes  |
      | before_next      | writes  |
      | before_next      | streams |
      | behind_next_head | writes  |
      | behind_next_head | streams |
      | inside_next      | writes  |
      | inside_next      | streams |

  Scenario Outline: a caller that uses an ID again after a refusal gets a true answer
    Given an entry before 2 app servers and 1 llm servers
    And servers write each refusal once more: <moment>
    When 8 times a caller writes, is refused by both servers with <refusal>, and writes again with the same ID
    Then no request ran more than once
    And a status that states that the request did not run is true

    Examples:
      | moment      | refusal  |
      | before_next | shed     |
      | before_next | throttle |
      | before_next | expire   |
      | while_idle  | shed     |
      | at_once     | shed     |

  Scenario Outline: a copy of a refusal costs no later caller its answer
    Given an entry before 1 app servers and 1 llm servers
    And servers write each refusal once more: <moment>
    And the copy comes after <count> further answers and <names> the request
    And the next app servers do: <refusal>
    When <writes> times a caller sends writes in turn
    Then all answers but the first are 200 and the whole answer to their requests

    Examples:
      | moment           | count | names         | refusal  | writes |
      | before_next      | 0     | names         | shed     | 4      |
      | before_next      | 20    | names         | throttle | 24     |
      | before_next      | 0     | does not name | shed     | 4      |
      | behind_next_head | 0     | names         | expire   | 4      |
      | inside_next      | 0     | names         | shed     | 4      |

  Scenario Outline: a copy of a refusal that breaks off does not become the head of the next answer
    Given an entry before 2 app servers and 1 llm servers
    And servers write each refusal once more: cut
    When for each length of the copy a caller is refused with <refusal> and writes again
    Then no request ran more than once
    And a status that states that the request did not run is true

    Examples:
      | refusal |
      | shed    |
      | moved   |

  Scenario: no connection carries one ID twice
    Given an entry before 1 app servers and 1 llm servers
    When a caller writes 3 times with one ID, each time on a new connection of its own
    Then the app servers saw 3 connections with a request each
