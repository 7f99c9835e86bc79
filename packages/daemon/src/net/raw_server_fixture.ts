import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";

/** HTTP server whose answers a test writes byte for byte. */
export class RawServer {
  readonly #server = createServer((socket) => {
    this.#sockets.add(socket);
    socket.once("close", () => this.#sockets.delete(socket));
    socket.on("error", () => {});
    socket.on("data", (data) => {
      const [, path = ""] = data.toString().split(" ");
      this.answer(socket, path);
    });
  });
  readonly #sockets = new Set<Socket>();

  /** `answer` is called for each request with its path. */
  constructor(public answer: (socket: Socket, path: string) => void) {}

  get url(): string {
    return `http://127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  async listen(port = 0): Promise<void> {
    this.#server.listen(port, "127.0.0.1");
    await once(this.#server, "listening");
  }

  close(): void {
    this.#server.close();
    this.#sockets.forEach((socket) => socket.destroy());
  }
}

/** Heads of answers that have neither a length nor chunks. */
export const UNFRAMED_HEADS = [
  "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
  "HTTP/1.1 200 OK\r\n\r\n",
  "HTTP/1.0 200 OK\r\n\r\n",
];

/** Time between an answer and the reset; 0 lets both be read together. */
const RESET_DELAYS_MS = [0, 5];

/** Answers that a reset cuts, by what they consist of. */
export const CUT_ANSWERS = UNFRAMED_HEADS.flatMap((head) =>
  ["", '{"a"', "[]"].flatMap((body) =>
    RESET_DELAYS_MS.map((delayMs) => ({ head, body, delayMs }))
  )
);

/** Writes an answer and resets the connection. */
export function writeAndReset(
  socket: Socket,
  { head, body, delayMs }: typeof CUT_ANSWERS[number],
): void {
  socket.write(head + body, () => {
    setTimeout(() => socket.resetAndDestroy(), delayMs);
  });
}
