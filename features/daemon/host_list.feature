Feature: Odd entries of the host list take no upstream away

  # Guards against one odd entry that stops a daemon from following the whole list.
  Scenario Outline: The host list with <fault> gives the other upstreams
    Given a host list with the entries "desk-1" and "desk-2"
    When the field "<field>" of "desk-2" becomes <value>
    Then the host list gives the upstreams "desk-1"

    Examples:
      | fault               | field   | value           |
      | a port out of range | address | "10.0.0.1:70000" |
      | port 0              | address | "10.0.0.1:0"     |
      | no address          | address | null             |
      | too many slots      | slots   | 1000000000000000000000000000000 |
      | no slots            | slots   | 0                |
      | a number beyond floats | slots | 1e400           |
      | an unknown state    | state   | "odd"            |
      | a list as service   | service | []               |
      | a line break in the id | id   | "desk-2\r\nX: y" |

  Scenario: A list that cannot be read raises an error that the daemon logs
    Given a host list with the entries "desk-1" and "desk-2"
    When the field "x" of "desk-2" becomes nested too deeply
    Then the host list is refused as a whole
