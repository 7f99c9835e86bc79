import {
  DATA_MESSAGE_TYPES,
  type Message,
  type MessageType,
} from "@anvildeal/core";

export type Direction = "sent" | "received";

/** Number and bytes of the messages of one kind in one direction. */
export interface TrafficRow {
  readonly kind: MessageType;
  readonly direction: Direction;
  /** Whether the messages are control traffic rather than request data. */
  readonly control: boolean;
  readonly messages: number;
  readonly bytes: number;
}

/** The byte counters of a `net.Socket`. */
export interface SocketCounters {
  readonly bytesRead: number;
  readonly bytesWritten: number;
}

/**
 * Counts the messages and bytes of peer connections by message kind and
 * direction.
 */
export class TrafficMeter {
  readonly #rows = new Map<string, { messages: number; bytes: number }>();
  readonly #sockets = new Set<SocketCounters>();
  #closedSocketBytes = 0;

  /** Counts a message; `bytes` is the size of the message's frame. */
  addMessage(direction: Direction, message: Message, bytes: number): void {
    const key = `${direction} ${message.type}`;
    const row = this.#rows.get(key) ?? { messages: 0, bytes: 0 };
    row.messages++;
    row.bytes += bytes;
    this.#rows.set(key, row);
  }

  /**
   * Adds the byte counts of a socket to `socketBytes`. Comparing that total
   * with the sum of the counts per message kind reveals bytes that were not
   * counted.
   */
  addSocket(socket: SocketCounters): void {
    this.#sockets.add(socket);
  }

  /**
   * Stops reading the counters of a closed socket; `socketBytes` keeps the last
   * counts.
   */
  removeSocket(socket: SocketCounters): void {
    if (this.#sockets.delete(socket)) {
      this.#closedSocketBytes += socket.bytesRead + socket.bytesWritten;
    }
  }

  /** Bytes sent and received by the sockets of all peer connections so far. */
  get socketBytes(): number {
    let bytes = this.#closedSocketBytes;
    for (const { bytesRead, bytesWritten } of this.#sockets) {
      bytes += bytesRead + bytesWritten;
    }
    return bytes;
  }

  rows(): TrafficRow[] {
    return [...this.#rows].map(([key, row]) => {
      const [direction, kind] = key.split(" ") as [Direction, MessageType];
      return {
        kind,
        direction,
        control: !DATA_MESSAGE_TYPES.has(kind),
        ...row,
      };
    });
  }

  /** Bytes of control traffic in both directions. */
  controlBytes(): number {
    return this.rows()
      .filter((row) => row.control)
      .reduce((sum, row) => sum + row.bytes, 0);
  }
}
