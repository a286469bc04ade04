Feature: An answer counts as whole only if its server sent it so

  # The greenlet that sent the upload met the reset, and the reader saw an end.
  Scenario Outline: an answer without a length that is reset during a long upload passes as complete
    Given an entry before a server that answers a long upload at once without a length, and then <does>
    When a client uploads 20 MB on the route <route>, and reads with a reader of its own
    Then the client gets no complete success

    Examples:
      | does                       | route |
      | resets                     | write |
      | resets after 0.05 s        | write |
      | resets after 0.3 s         | write |
      | closes with unread bytes   | write |
      | closes at once             | write |
      | resets after 0.05 s        | read  |

  Scenario Outline: an answer without a length of a server that closes in order is not believed
    Given an entry before a server that answers without a length, and then <does>
    When a client uploads <size> on the route write, and reads with a reader of its own
    Then the client gets the whole answer

    Examples:
      | does                                 | size    |
      | closes once it has the whole request | 20 MB   |
      | closes once it has the whole request | 10 B    |
      | shuts down and reads the rest        | 20 MB   |

  Scenario Outline: an error that another call took from the socket is lost to the reader
    Given a server that resets a connection behind an answer without a length
    When <call> looks at the connection before the reader does
    Then the reader gets an error

    Examples:
      | call                        |
      | nobody                      |
      | a look for input            |
      | a poll                      |
      | a send of another greenlet  |
