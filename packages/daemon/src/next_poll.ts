/**
 * Calls back after the event loop has read from all sockets once more. An
 * immediate runs after the sockets of the current turn were read.
 */
export function afterNextPoll(callback: () => void): void {
  setImmediate(() => setImmediate(callback));
}

/** Resolves after the event loop has read from all sockets once more. */
export function nextPoll(): Promise<void> {
  return new Promise(afterNextPoll);
}
