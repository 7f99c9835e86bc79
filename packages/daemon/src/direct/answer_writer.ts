import type { IncomingMessage, ServerResponse } from "node:http";
import { EventStreamCut } from "./event_stream_cut.js";
import type { RawHeaders } from "./call_dialect.js";

export interface AnswerFraming {
  /** Pass only whole events of the stream on. */
  readonly cutEvents: boolean;
  /** Ask the caller to close its connection after the answer. */
  readonly close: boolean;
  /**
   * The endpoint's answer ends with its connection. Its end cannot be told
   * from a crash, so the caller's copy must not be framed as complete either.
   */
  readonly unframed: boolean;
}

/** The request of a caller and the answer that is being written to it. */
export class AnswerWriter {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly body: Buffer;
  #cut: EventStreamCut | undefined;
  #resumePoint: string | undefined;
  #hasLength = false;
  #unframed = false;

  constructor(
    request: IncomingMessage,
    response: ServerResponse,
    body: Buffer,
    resumePoint: string | undefined,
  ) {
    this.request = request;
    this.response = response;
    this.body = body;
    this.#resumePoint = resumePoint;
  }

  /** Event after which the next attempt has to continue. */
  get resumePoint(): string | undefined {
    return this.#cut ? this.#cut.lastEventId : this.#resumePoint;
  }

  /** Whether another endpoint can continue the answer unnoticed. */
  get canResume(): boolean {
    return !this.response.headersSent ||
      this.#cut !== undefined && !this.#hasLength;
  }

  /** Begins the answer; a resumed one keeps its first head. */
  begin(
    status: number,
    headers: RawHeaders,
    { close, cutEvents, unframed }: AnswerFraming,
  ): void {
    if (this.response.headersSent) {
      return;
    }
    if (cutEvents) {
      this.#cut = new EventStreamCut(this.#resumePoint);
    }
    const kept: string[] = [];
    for (let i = 0; i + 1 < headers.length; i += 2) {
      this.#hasLength ||= headers[i]!.toLowerCase() === "content-length";
      kept.push(headers[i]!, headers[i + 1]!);
    }
    this.#unframed = unframed;
    if (unframed) {
      this.response.useChunkedEncodingByDefault = false;
    }
    if (close || unframed) {
      kept.push("Connection", "close");
    }
    this.response.sendDate = false;
    this.response.writeHead(status, kept);
    this.response.flushHeaders();
  }

  /** Returns whether more may be written at once. */
  write(chunk: Buffer): boolean {
    const whole = this.#cut ? this.#cut.push(chunk) : chunk;
    return whole.length === 0 || this.response.write(whole);
  }

  end(): void {
    const rest = this.#cut?.flush();
    this.response.end(rest && rest.length > 0 ? rest : undefined);
  }

  /** Prepares for an answer that goes on at another endpoint. */
  prepareResume(): void {
    this.#cut?.dropPartial();
  }

  /** Cuts the answer, so that it cannot look whole. */
  breakOff(): void {
    if (this.#unframed) {
      // A plain close would be the regular end of such an answer.
      this.request.socket.resetAndDestroy();
    }
    this.response.destroy();
  }
}
