import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import { pipeline } from "node:stream/promises";
import { parseArgs } from "node:util";
import { httpConnector } from "@anvildeal/daemon";
import { listenOnLoopback } from "@anvildeal/stand-ins";
import { Agent, request } from "undici";

/**
 * A minimal proxy on Node `http` and `undici` that forwards requests to its
 * targets round-robin. The overhead experiment compares the router with this
 * proxy.
 */
const { values } = parseArgs({
  options: { target: { type: "string", multiple: true } },
});
const targets = values.target ?? [];
const CONNECT_TIMEOUT_MS = 10_000;
const agent = new Agent({
  connections: 256,
  pipelining: 1,
  connect: httpConnector(CONNECT_TIMEOUT_MS),
});
let nextTarget = 0;

async function forward(
  incoming: IncomingMessage,
  outgoing: ServerResponse,
): Promise<void> {
  const target = targets[nextTarget++ % targets.length] ?? "";
  const { host: _host, connection: _connection, ...headers } = incoming.headers;
  const answer = await request(target + (incoming.url ?? "/"), {
    dispatcher: agent,
    method: incoming.method === "GET" ? "GET" : "POST",
    headers,
    body: incoming.method === "GET" ? null : incoming,
  });
  const { connection: _upstream, ...answerHeaders } = answer.headers;
  outgoing.writeHead(answer.statusCode, answerHeaders);
  await pipeline(answer.body, outgoing);
}

const server = createServer((incoming, outgoing) => {
  forward(incoming, outgoing).catch(() => outgoing.destroy());
});
const port = await listenOnLoopback(server);
console.log(JSON.stringify({ ready: true, url: `http://127.0.0.1:${port}` }));
