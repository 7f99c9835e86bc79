// What may be joined to a stream of events that another endpoint began.

const OK = 200;
const EVENT_STREAM_TYPE = "text/event-stream";

/** Head of an answer, as far as it decides what may be joined to its body. */
export interface StreamHead {
  readonly status: number;
  readonly contentType?: string | undefined;
  readonly contentEncoding?: string | undefined;
  readonly contentLength?: string | undefined;
}

/** Reads what decides on joining from headers with names in lower case. */
export function streamHeadOf(
  status: number,
  headers: Readonly<Record<string, string | string[] | undefined>>,
): StreamHead {
  const textOf = (name: string) => headers[name]?.toString();
  return {
    status,
    contentType: textOf("content-type"),
    contentEncoding: textOf("content-encoding"),
    contentLength: textOf("content-length"),
  };
}

/** Whether the body of an answer is a stream of server-sent events. */
export function isEventStream({ contentType }: StreamHead): boolean {
  const [mediaType] = (contentType ?? "").split(";");
  return mediaType!.trim().toLowerCase() === EVENT_STREAM_TYPE;
}

/**
 * Whether another answer may continue the one with this head after a part of its
 * body was relayed: only a stream of events whose length was not announced.
 */
export function canBeContinued(first: StreamHead): boolean {
  return isPlainEventStream(first) && first.contentLength === undefined;
}

/**
 * Whether the body of an answer may be joined to the stream that the answer with
 * the head `first` began. Any other answer, such as an error, is none that the
 * caller could tell from its stream.
 */
export function continuesStream(first: StreamHead, next: StreamHead): boolean {
  return canBeContinued(first) && isPlainEventStream(next);
}

/** Whether the answer is a success whose body is a stream of plain events. */
export function isPlainEventStream(head: StreamHead): boolean {
  const { contentEncoding, status } = head;
  return status === OK && isEventStream(head) &&
    (contentEncoding ?? "identity") === "identity";
}
