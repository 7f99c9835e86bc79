// Stand-in of a model replica: it runs some requests at once, lets others wait, and
// answers each with a stream of events.

import { Replica, signedHead } from "./replica.js";

const SLOTS = 64;
const MAX_WAITING = 192;
const EVENTS = 48;
const EVENT_PAUSE_MS = 280;

/** Time to read a prompt, before the head and the first event of the answer. */
const PREFILL_MS = 400;

/** Returns a replica that streams `EVENTS` events in some 14 s. */
export function streamingReplica(
  id,
  events = EVENTS,
  pauseMs = EVENT_PAUSE_MS,
) {
  let running = 0;
  const waiting = [];
  const startNext = () => {
    while (running < SLOTS && waiting.length > 0) {
      const { request, socket } = waiting.shift();
      if (!socket.destroyed) {
        running++;
        run(request, socket);
      }
    }
  };
  const run = (request, socket) => {
    let sent = 0;
    let ended = false;
    const end = () => {
      if (!ended) {
        ended = true;
        clearTimeout(timer);
        socket.off("close", end);
        running--;
        startNext();
      }
    };
    const step = () => {
      if (sent === 0) {
        socket.write(signedHead(request, [
          "Content-Type: text/event-stream",
          "Transfer-Encoding: chunked",
        ]));
      }
      if (sent === events) {
        socket.write("0\r\n\r\n");
        end();
        return;
      }
      const event = `id: ${++sent}\ndata: event ${sent}\n\n`;
      socket.write(`${event.length.toString(16)}\r\n${event}\r\n`);
      timer = setTimeout(step, pauseMs);
    };
    let timer = setTimeout(step, PREFILL_MS);
    socket.on("close", end);
  };
  return new Replica(id, (request, socket) => {
    if (waiting.length >= MAX_WAITING) {
      const id = request.headers.get("anvildeal-attempt-id");
      socket.write(
        `HTTP/1.1 503 Full\r\nAnvildeal-Attempt-Id: ${id}\r\n` +
          "Anvildeal-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
      );
      return;
    }
    waiting.push({ request, socket });
    startNext();
  });
}
