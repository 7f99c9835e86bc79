import { httpConnector } from "@anvildeal/daemon";
import { Agent, type Dispatcher, request } from "undici";
import { classifyAnswer } from "./classify_answer.js";
import type {
  PlannedCall,
  PlannedChat,
  PlannedRequest,
} from "./planned_request.js";
import type { RequestResult, Verdict } from "./request_result.js";
import { SseReader } from "./sse_reader.js";

/**
 * Time limit for a request, from the start of the connection to the end of the
 * answer.
 */
const REQUEST_TIMEOUT_MS = 60_000;
const CONNECT_TIMEOUT_MS = 2000;
const CONNECTIONS_PER_ROUTER = 512;

export interface LoadTarget {
  /** URLs of the routers that the balancer considers healthy now. */
  routerUrls(): readonly string[];
  readonly model: string;
  readonly clientKeys: Readonly<Record<string, string>>;
}

interface Answer {
  verdict: Verdict;
  firstByteMs?: number;
  firstTokenMs?: number;
  gapsMs: number[];
  status?: number;
  outcome?: string;
  endpoint?: string;
  requestId?: string;
  promptTokens: number;
  cachedTokens: number;
  outputTokens: number;
  reason?: string;
}

interface UsageFields {
  readonly prompt_tokens?: number;
  readonly completion_tokens?: number;
  readonly prompt_tokens_details?: { readonly cached_tokens?: number };
}

interface ChatEvent {
  readonly choices?: readonly {
    readonly delta?: { readonly content?: string };
    readonly message?: { readonly content?: string };
    readonly finish_reason?: string | null;
  }[];
  readonly usage?: UsageFields | null;
  readonly error?: { readonly code?: string; readonly type?: string };
}

/**
 * Sends planned requests over keep-alive connections and checks their answers.
 *
 * The client chooses routers round-robin, as a platform balancer does. It tries
 * the next router only when the connection could not be established, so that no
 * request is sent twice.
 */
export class LoadClient {
  readonly #agent = new Agent({
    connections: CONNECTIONS_PER_ROUTER,
    pipelining: 1,
    keepAliveTimeout: 4000,
    headersTimeout: REQUEST_TIMEOUT_MS,
    bodyTimeout: REQUEST_TIMEOUT_MS,
    connect: httpConnector(CONNECT_TIMEOUT_MS),
  });
  #nextRouter = 0;

  constructor(readonly target: LoadTarget) {}

  /**
   * Sends a request and waits for its answer. A failure does not reject the
   * promise but is reported as the verdict. `dueMs` is the due time of the
   * request, a value of `performance.now()`. If `router`, the URL of a router,
   * is given, only that router is tried and not the routers of the target.
   */
  async send(
    plan: PlannedRequest,
    dueMs: number,
    options: { readonly router?: string } = {},
  ): Promise<Omit<RequestResult, "oracleTokens">> {
    const urls = options.router === undefined
      ? this.target.routerUrls()
      : [options.router];
    const firstIndex = this.#nextRouter++;
    let answer = failedAnswer("unsent", "no_router");
    let routerIndex = -1;
    for (let i = 0; i < urls.length; i++) {
      routerIndex = (firstIndex + i) % urls.length;
      answer = await this.#sendTo(urls[routerIndex]!, plan, dueMs);
      if (answer.verdict !== "unsent") {
        break;
      }
    }
    return {
      plan,
      atMs: plan.atMs,
      totalMs: performance.now() - dueMs,
      routerIndex,
      ...answer,
    };
  }

  async dispose(): Promise<void> {
    await this.#agent.destroy();
  }

  async #sendTo(
    url: string,
    plan: PlannedRequest,
    dueMs: number,
  ): Promise<Answer> {
    let response: Dispatcher.ResponseData;
    try {
      response = await request(url + pathOf(plan), {
        dispatcher: this.#agent,
        method: plan.kind === "chat" ? "POST" : plan.method,
        headers: this.#headersOf(plan),
        body: bodyOf(plan, this.target.model),
        signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
      });
    } catch (error) {
      const code = codeOf(error);
      const isUnsent = code === "ECONNREFUSED" ||
        code === "UND_ERR_CONNECT_TIMEOUT";
      return failedAnswer(isUnsent ? "unsent" : "lost", code);
    }
    const answer: Answer = {
      ...failedAnswer("lost", ""),
      status: response.statusCode,
      firstByteMs: performance.now() - dueMs,
      ...headerFields(response.headers),
    };
    try {
      await this.#readBody(plan, response, dueMs, answer);
    } catch (error) {
      answer.verdict = answer.firstTokenMs === undefined ? "lost" : "cut";
      answer.reason = codeOf(error);
    }
    return answer;
  }

  async #readBody(
    plan: PlannedRequest,
    response: Dispatcher.ResponseData,
    dueMs: number,
    answer: Answer,
  ): Promise<void> {
    if (response.statusCode >= 400) {
      answer.verdict = "refused";
      answer.reason = reasonOf(await response.body.text());
      return;
    }
    if (plan.kind === "call") {
      await readCall(plan, response, dueMs, answer);
    } else if (plan.stream) {
      await readEventStream(plan, response, dueMs, answer);
    } else {
      await readJsonResponse(plan, response, dueMs, answer);
    }
  }

  #headersOf(plan: PlannedRequest): Record<string, string> {
    const headers: Record<string, string> = {
      authorization: `Bearer ${this.target.clientKeys[plan.account] ?? ""}`,
    };
    if (plan.deadlineMs !== undefined) {
      headers["anvildeal-deadline-ms"] = String(plan.deadlineMs);
    }
    if (plan.kind === "chat") {
      headers["content-type"] = "application/json";
      headers["anvildeal-chat"] = plan.chat;
      return headers;
    }
    // The plain service counts executions under the value of this header.
    headers["x-execution-id"] = plan.callId;
    if (plan.body !== undefined) {
      headers["content-type"] = "application/json";
    }
    if (!plan.isIdempotent) {
      headers["anvildeal-idempotent"] = "false";
    }
    if (plan.idempotencyKey !== undefined) {
      headers["idempotency-key"] = `"${plan.idempotencyKey}"`;
    }
    return headers;
  }
}

function pathOf(plan: PlannedRequest): string {
  return plan.kind === "chat" ? "/v1/chat/completions" : plan.path;
}

function bodyOf(plan: PlannedRequest, model: string): string | null {
  if (plan.kind === "call") {
    return plan.body ?? null;
  }
  return JSON.stringify({
    model,
    messages: plan.messages,
    max_tokens: plan.maxTokens,
    stream: plan.stream,
    ...(plan.stream ? { stream_options: { include_usage: true } } : {}),
  });
}

async function readEventStream(
  plan: PlannedChat,
  response: Dispatcher.ResponseData,
  dueMs: number,
  answer: Answer,
): Promise<void> {
  const reader = new SseReader();
  let text = "";
  let isFinished = false;
  let lastContentMs: number | undefined;
  const applyEvent = (data: string) => {
    if (data === "[DONE]") {
      isFinished = true;
      return;
    }
    const event = JSON.parse(data) as ChatEvent;
    if (event.error !== undefined) {
      answer.reason = event.error.code ?? event.error.type ?? "error_event";
    }
    applyUsage(event.usage, answer);
    const content = event.choices?.[0]?.delta?.content ?? "";
    if (content !== "") {
      const nowMs = performance.now();
      if (lastContentMs === undefined) {
        answer.firstTokenMs = nowMs - dueMs;
      } else {
        answer.gapsMs.push(nowMs - lastContentMs);
      }
      lastContentMs = nowMs;
      text += content;
    }
  };
  try {
    for await (const piece of response.body) {
      for (const data of reader.push(piece as Uint8Array)) {
        applyEvent(data);
      }
    }
  } catch (error) {
    answer.reason = codeOf(error);
  }
  answer.verdict = classifyAnswer(
    text,
    plan.expected,
    isFinished && answer.reason === "",
  );
}

async function readJsonResponse(
  plan: PlannedChat,
  response: Dispatcher.ResponseData,
  dueMs: number,
  answer: Answer,
): Promise<void> {
  const event = await response.body.json() as ChatEvent;
  answer.firstTokenMs = performance.now() - dueMs;
  applyUsage(event.usage, answer);
  const text = event.choices?.[0]?.message?.content ?? "";
  answer.verdict = classifyAnswer(text, plan.expected, true);
}

async function readCall(
  plan: PlannedCall,
  response: Dispatcher.ResponseData,
  dueMs: number,
  answer: Answer,
): Promise<void> {
  const text = await response.body.text();
  answer.firstTokenMs = performance.now() - dueMs;
  // The service echoes the path, and the path contains the call ID. An answer
  // to another call therefore does not contain this ID.
  answer.verdict = text.includes(plan.callId) ? "whole" : "wrong";
}

function applyUsage(
  usage: UsageFields | null | undefined,
  answer: Answer,
): void {
  if (!usage) {
    return;
  }
  answer.promptTokens = usage.prompt_tokens ?? 0;
  answer.outputTokens = usage.completion_tokens ?? 0;
  answer.cachedTokens = usage.prompt_tokens_details?.cached_tokens ?? 0;
}

function headerFields(
  headers: Dispatcher.ResponseData["headers"],
): Partial<Pick<Answer, "outcome" | "endpoint" | "requestId">> {
  const outcome = headers["anvildeal-outcome"];
  const endpoint = headers["anvildeal-endpoint"];
  const requestId = headers["anvildeal-request"];
  return {
    ...(outcome === undefined ? {} : { outcome: String(outcome) }),
    ...(endpoint === undefined ? {} : { endpoint: String(endpoint) }),
    ...(requestId === undefined ? {} : { requestId: String(requestId) }),
  };
}

function failedAnswer(verdict: Verdict, reason: string): Answer {
  return {
    verdict,
    reason,
    gapsMs: [],
    promptTokens: 0,
    cachedTokens: 0,
    outputTokens: 0,
  };
}

function reasonOf(body: string): string {
  try {
    const event = JSON.parse(body) as ChatEvent;
    return event.error?.code ?? event.error?.type ?? "error";
  } catch {
    return "error";
  }
}

function codeOf(error: unknown): string {
  if (error instanceof Error) {
    const errorWithCode = error as Error & { readonly code?: string };
    return errorWithCode.code ?? error.name;
  }
  return "error";
}
