import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { expectedAnswer } from "./expected_answer.js";
import { ModelEngine } from "./model_engine.js";
import type { ModelEngineOptions } from "./model_engine_options.js";

/**
 * Polls until the check passes; the time-out is long enough for a busy machine.
 */
function waitFor(check: () => unknown): Promise<unknown> {
  return vi.waitFor(check, { timeout: 30_000 });
}

const messages = [{ role: "user", content: "ledger ".repeat(400) }];

/**
 * Options that make the engine fast and its cache events and load visible at
 * once.
 */
const FAST_ENGINE: Partial<ModelEngineOptions> = {
  prefillTokensPerS: 200_000,
  decodeBaseMs: 0.1,
  decodePerRequestMs: 0,
  cacheEventDelayMs: 0,
  cacheEventLossShare: 0,
  loadReportLagMs: 0,
};

let engine: ModelEngine;

async function start(options: Partial<ModelEngineOptions>): Promise<void> {
  engine = new ModelEngine({ ...FAST_ENGINE, ...options });
  await engine.start();
}

async function restart(options: Partial<ModelEngineOptions>): Promise<void> {
  await engine.dispose();
  await start(options);
}

function post(
  path: string,
  body: object,
  headers: Record<string, string> = {},
): Promise<Response> {
  return fetch(engine.url + path, {
    method: "POST",
    headers,
    body: JSON.stringify(body),
  });
}

function chat(
  body: object,
  headers: Record<string, string> = {},
): Promise<Response> {
  return post("/v1/chat/completions", {
    messages,
    max_tokens: 40,
    ...body,
  }, headers);
}

interface Completion {
  choices: [{ message: { role: string; content: string } }];
  usage: {
    completion_tokens: number;
    prompt_tokens_details: { cached_tokens: number };
  };
}

async function complete(body: object): Promise<Completion> {
  return (await chat(body)).json() as Promise<Completion>;
}

async function getJson<T>(path: string): Promise<T> {
  return (await fetch(engine.url + path)).json() as Promise<T>;
}

/** Reads a stream to its end; returns its event numbers and joined text. */
async function readStream(
  response: Response,
): Promise<{ ids: number[]; text: string; done: boolean }> {
  const body = await response.text();
  const events = body.split("\n\n").filter(Boolean);
  const ids = events.map((event) => Number(/^id: (\d+)/.exec(event)?.[1]));
  const data = events.map((event) => event.slice(event.indexOf("data: ") + 6));
  const text = data
    .filter((line) => line !== "[DONE]")
    .map((line) => JSON.parse(line).choices[0]?.delta.content ?? "")
    .join("");
  return { ids, text, done: data.at(-1) === "[DONE]" };
}

beforeEach(() => start({}));
afterEach(() => engine.dispose());

describe("ModelEngine", () => {
  describe("answers", () => {
    it("gives the expected answer with and without stream", async () => {
      const expected = expectedAnswer(messages, 40);
      const fullAnswer = await complete({});
      expect(fullAnswer.choices[0].message.content).toBe(expected);
      expect(fullAnswer.usage.completion_tokens).toBe(40);
      const streamed = await readStream(await chat({ stream: true }));
      expect(streamed).toMatchObject({ text: expected, done: true });
    });

    it("continues an answer inside a token without repeating text", async () => {
      const expected = expectedAnswer(messages, 40);
      const response = await chat({
        stream: true,
        continue_text: expected.slice(0, 57),
      });
      const { text } = await readStream(response);
      expect(expected.slice(0, 57) + text).toBe(expected);
    });

    it("rejects continue_text that the answer does not start with", async () => {
      expect((await chat({ continue_text: "other" })).status).toBe(400);
    });
  });

  describe("streams", () => {
    it("resumes from an event number without loss or repetition", async () => {
      const response = await chat({ stream: true });
      const id = response.headers.get("x-stream-id");
      const fullStream = await readStream(response);
      const rest = await readStream(
        await fetch(`${engine.url}/v1/streams/${id}?from=2`),
      );
      // The stream has four events or more: role, text, finish reason and end.
      expect(fullStream.ids.length).toBeGreaterThanOrEqual(4);
      expect(rest.ids).toEqual(fullStream.ids.slice(2));
      expect(engine.executions.toJSON().unidentified).toBe(1);
    });

    it("resets a stream that an outage interrupted, so that no event is skipped", async () => {
      await restart({ decodeBaseMs: 5 });
      await engine.setFaults({ paused: true });
      const response = await chat({ stream: true, max_tokens: 400 });
      const id = response.headers.get("x-stream-id");
      await engine.setFaults({ paused: false, outage: "hang" });
      await waitFor(() => {
        expect(engine.load.outstanding_tokens).toBeLessThan(400);
      });
      await engine.setFaults({ outage: "none", slow_factor: 0.01 });
      await expect(response.body?.getReader().read()).rejects.toThrow();
      const { text } = await readStream(
        await fetch(`${engine.url}/v1/streams/${id}?from=0`),
      );
      expect(text).toBe(expectedAnswer(messages, 400));
    });

    it("frees the slot of a cancelled stream", async () => {
      await engine.setFaults({ paused: true });
      const response = await chat({ stream: true });
      const id = response.headers.get("x-stream-id");
      expect(engine.load.running).toBe(1);
      await fetch(`${engine.url}/v1/streams/${id}`, { method: "DELETE" });
      expect(engine.load).toMatchObject({ running: 0, outstanding_tokens: 0 });
      expect((await readStream(response)).done).toBe(false);
    });
  });

  describe("prefix cache", () => {
    it("counts the prompt and answer of the previous turn as cached", async () => {
      const first = await complete({ max_tokens: 400 });
      expect(first.usage.prompt_tokens_details.cached_tokens).toBe(0);
      const answer = first.choices[0].message;
      const second = await complete({
        messages: [...messages, answer, { role: "user", content: "Go on." }],
      });
      // The prompt's 2,806 characters and the answer's 1,610 characters hold
      // four complete blocks of 1,024 characters.
      expect(second.usage.prompt_tokens_details.cached_tokens).toBe(4 * 256);
    });

    it("evicts the least recently used blocks and reports each eviction", async () => {
      await restart({ cacheTokens: 3 * 256 });
      await chat({}).then((r) => r.text());
      await chat({ messages: [{ role: "user", content: "x".repeat(2000) }] })
        .then((r) => r.text());
      const { events } = await getJson<{ events: { kind: string }[] }>(
        "/v1/cache/events?after=0",
      );
      expect(events.map((event) => event.kind)).toContain("evicted");
      const state = await getJson<{ cached_hashes: string[] }>("/debug/state");
      expect(state.cached_hashes).toHaveLength(3);
      // The last block of the first chat was evicted, not its first block,
      // without which the blocks after it are useless.
      const { usage } = await complete({});
      expect(usage.prompt_tokens_details.cached_tokens).toBe(256);
    });
  });

  describe("scheduling", () => {
    it("starts the job of the highest priority when a slot becomes free", async () => {
      await restart({ maxBatch: 1 });
      await engine.setFaults({ paused: true });
      const order: string[] = [];
      const send = async (name: string, priority: string) => {
        const response = await chat({ stream: true }, {
          "x-priority": priority,
        });
        return response.text().then(() => order.push(name));
      };
      const runs = [send("first", "0")];
      await waitFor(() => expect(engine.load.running).toBe(1));
      runs.push(send("low", "1"));
      await waitFor(() => expect(engine.load.waiting).toBe(1));
      runs.push(send("high", "9"));
      await waitFor(() => expect(engine.load.waiting).toBe(2));
      await engine.setFaults({ paused: false });
      await Promise.all(runs);
      expect(order).toEqual(["first", "high", "low"]);
    });

    it("excludes cached tokens from the outstanding tokens", async () => {
      await restart({ maxBatch: 1 });
      await complete({});
      await engine.setFaults({ paused: true });
      const running = await chat({ stream: true });
      const waiting = await chat({ stream: true });
      // The prompt's 2,806 characters are 702 tokens, of which two blocks are
      // cached.
      expect(engine.load.outstanding_tokens).toBe(2 * (702 - 512 + 40));
      await running.body?.cancel();
      await waiting.body?.cancel();
    });

    it("slows each request down as the batch grows", async () => {
      await restart({ decodeBaseMs: 10, decodePerRequestMs: 5 });
      await engine.setFaults({ paused: true });
      const first = await chat({ stream: true });
      expect(engine.load.decode_tokens_per_s).toBeCloseTo(1000 / 15);
      const second = await chat({ stream: true });
      expect(engine.load.decode_tokens_per_s).toBeCloseTo(2 * 1000 / 20);
      await engine.setFaults({ slow_factor: 4 });
      expect(engine.load.decode_tokens_per_s).toBeCloseTo(2 * 1000 / 80);
      await first.body?.cancel();
      await second.body?.cancel();
    });

    it("reports the current load only after the lag has passed", async () => {
      await restart({ loadReportLagMs: 3_600_000 });
      await engine.setFaults({ paused: true });
      const response = await chat({ stream: true });
      expect(engine.load.running).toBe(1);
      expect(await getJson("/v1/load")).toMatchObject({ running: 0 });
      await response.body?.cancel();
    });
  });

  describe("cache events", () => {
    it("leaves gaps in the event numbers when events are lost", async () => {
      await restart({ cacheEventLossShare: 0.5, seed: 7 });
      await complete({ max_tokens: 3000 });
      const { events } = await getJson<{ events: { seq: number }[] }>(
        "/v1/cache/events",
      );
      const last = events.at(-1)?.seq ?? 0;
      expect(events.length, "seed 7").toBeGreaterThan(0);
      expect(last, "seed 7").toBeGreaterThan(events.length);
    });

    it("hides events until their delay has passed", async () => {
      await restart({ cacheEventDelayMs: 3_600_000 });
      await complete({});
      expect(await getJson("/v1/cache/events")).toEqual({ events: [] });
    });
  });

  it("moves a cached prefix to another engine", async () => {
    await complete({});
    const { cached_hashes } = await getJson<{ cached_hashes: string[] }>(
      "/debug/state",
    );
    // `cached_hashes` starts with the least recently used block, which is the
    // last block of the prefix.
    const hashes = cached_hashes.toReversed();
    const exported = await (await post("/v1/cache/export", { hashes })).json();
    await restart({});
    await post("/v1/cache/import", exported as object);
    const { usage } = await complete({});
    expect(usage.prompt_tokens_details.cached_tokens).toBe(2 * 256);
  });

  describe("orders", () => {
    const sendOrder = (fencing_number: number) =>
      post("/v1/orders", { kind: "load_model", parameters: {}, fencing_number })
        .then((response) => response.status);

    it("rejects an old fencing number when the engine checks it", async () => {
      expect([await sendOrder(5), await sendOrder(4), await sendOrder(5)])
        .toEqual(
          [200, 409, 200],
        );
    });

    it("accepts an old fencing number when the engine does not check it", async () => {
      await restart({ checksFencing: false });
      expect([await sendOrder(5), await sendOrder(4)]).toEqual([200, 200]);
    });
  });

  describe("executions", () => {
    it("counts retries of one request under the caller's execution id", async () => {
      const id = { "x-execution-id": "e1" };
      await chat({}, { ...id, "anvildeal-request": "r1" }).then((r) =>
        r.text()
      );
      await chat({}, { ...id, "anvildeal-request": "r2" }).then((r) =>
        r.text()
      );
      const { executions } = await getJson<{ executions: object[] }>(
        "/executions",
      );
      expect(executions).toEqual([
        { id: "e1", started: 2, completed: 2, continued: 0 },
      ]);
    });
  });
});
