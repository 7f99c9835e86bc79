import type { SubmitMessage } from "../wire/index.js";

/** HTTP call to an endpoint. */
export interface EngineCall {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array | undefined;
  /**
   * Whether the answer is a stream of chat events. The number of its output
   * tokens is estimated from the text of the events.
   */
  readonly isChatStream: boolean;
  /** Whether the caller requested the usage event at the end of a stream. */
  readonly includeUsage: boolean;
}

/** Translates submit frames to the HTTP API of an engine or service. */
export abstract class EngineDialect {
  abstract composeCall(submit: SubmitMessage): EngineCall;

  /** Response header with the id of the stream, if the engine sends one. */
  get streamIdHeader(): string | undefined {
    return undefined;
  }

  /**
   * Path that returns a stream from event number `_fromEvent` on; undefined if
   * streams cannot be resumed.
   */
  resumePath(_streamId: string, _fromEvent: number): string | undefined {
    return undefined;
  }

  /**
   * Path to which a `DELETE` request cancels a stream and frees its slot;
   * undefined if the engine does not support this.
   */
  cancelPath(_streamId: string): string | undefined {
    return undefined;
  }
}

/**
 * Plain HTTP service: passes on the method, path, headers and body, and adds
 * the request id as a header.
 */
export class PlainDialect extends EngineDialect {
  override composeCall(submit: SubmitMessage): EngineCall {
    return {
      method: submit.method,
      path: submit.path,
      headers: {
        ...submit.headers,
        "anvildeal-request": submit.requestId,
      },
      body: submit.body.length > 0 ? submit.body : undefined,
      isChatStream: false,
      includeUsage: false,
    };
  }
}

interface ChatBody {
  readonly stream?: boolean;
  readonly stream_options?: { readonly include_usage?: boolean };
}

/**
 * OpenAI-compatible engine without extensions. `composeCall` throws a
 * `SyntaxError` if the body is not JSON.
 */
export class OpenAiDialect extends EngineDialect {
  override composeCall(submit: SubmitMessage): EngineCall {
    const body = JSON.parse(new TextDecoder().decode(submit.body)) as ChatBody;
    const isChatStream = body.stream === true;
    const includeUsage = body.stream_options?.include_usage === true;
    const engineBody = {
      ...body,
      ...isChatStream && { stream_options: { include_usage: true } },
      ...this.extendBody(submit),
    };
    return {
      method: "POST",
      path: "/v1/chat/completions",
      headers: {
        "content-type": "application/json",
        "anvildeal-request": submit.requestId,
        ...this.extendHeaders(submit),
      },
      body: new TextEncoder().encode(JSON.stringify(engineBody)),
      isChatStream,
      includeUsage,
    };
  }

  protected extendBody(_submit: SubmitMessage): Record<string, unknown> {
    return {};
  }

  protected extendHeaders(_submit: SubmitMessage): Record<string, string> {
    return {};
  }
}

/**
 * OpenAI-compatible engine that supports stream ids, request priorities and the
 * continuation of a partial answer.
 */
export class ResumableOpenAiDialect extends OpenAiDialect {
  override get streamIdHeader(): string {
    return "x-stream-id";
  }

  override resumePath(streamId: string, fromEvent: number): string {
    return `/v1/streams/${encodeURIComponent(streamId)}?from=${fromEvent}`;
  }

  override cancelPath(streamId: string): string {
    return `/v1/streams/${encodeURIComponent(streamId)}`;
  }

  protected override extendBody(
    submit: SubmitMessage,
  ): Record<string, unknown> {
    return submit.resumeText === undefined
      ? {}
      : { continue_text: submit.resumeText };
  }

  protected override extendHeaders(
    submit: SubmitMessage,
  ): Record<string, string> {
    return {
      "x-priority": String(submit.priority),
    };
  }
}

/** Creates the dialect that a pool's configuration names. */
export function createDialect(
  name: "openai" | "openai_resumable" | "plain",
): EngineDialect {
  switch (name) {
    case "openai":
      return new OpenAiDialect();
    case "openai_resumable":
      return new ResumableOpenAiDialect();
    case "plain":
      return new PlainDialect();
  }
}
