import type { IncomingMessage } from "node:http";
import type {
  AnswerHead,
  CallHead,
  Refusal,
  StartAttempt,
} from "@anvildeal/core";

/** Alternating header names and values with their spelling on the wire. */
export type RawHeaders = readonly string[];

/**
 * Translates between the headers that callers, routers and endpoints of a
 * platform exchange and the types of the router. Makes no routing decision.
 */
export abstract class CallDialect {
  /** Decodes the headers of a caller's request. */
  abstract readCall(request: IncomingMessage, bodyBytes: number): CallHead;

  /**
   * Id of the last event that the caller received of an interrupted stream;
   * undefined if the request does not resume a stream.
   */
  abstract lastEventIdOf(request: IncomingMessage): string | undefined;

  /**
   * Headers of the request to the endpoint: first the caller's headers, except
   * those that only the router may set, then the headers that the router sets.
   *
   * @param rawHeaders End-to-end headers of the caller.
   * @param lastEventId Event after which the endpoint must continue the stream.
   */
  abstract requestHeaders(
    rawHeaders: RawHeaders,
    attempt: StartAttempt,
    lastEventId: string | undefined,
  ): string[];

  /** Decodes the head of an endpoint's answer; header names are in lower case. */
  abstract readAnswer(
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ): AnswerHead;

  /**
   * Headers that the platform adds to an answer by which the router refuses a
   * request.
   */
  abstract refusalHeaders(
    refusal: Refusal,
    request: IncomingMessage,
  ): Record<string, string>;
}
