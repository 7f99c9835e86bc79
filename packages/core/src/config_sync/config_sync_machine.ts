import { assign, setup } from "xstate";

/** What the machine decides on: versions only, never content. */
export interface ConfigContext {
  /** Version in force; 0 before the first. */
  readonly inForceVersion: number;
  /** Highest version that any peer or the store has named. */
  readonly knownVersion: number;
}

export type ConfigMachineEvent =
  | { readonly type: "versionNamed"; readonly version: number }
  | { readonly type: "versionComplete"; readonly version: number }
  | { readonly type: "sourcesExhausted" }
  | { readonly type: "retryDue" };

/**
 * Decides when content is fetched and which version comes into force.
 *
 * A version comes into force only if it is above the one in force, whatever
 * arrives late; `applyVersion` is emitted in no other case.
 */
export const configMachine = setup({
  types: {
    context: {} as ConfigContext,
    events: {} as ConfigMachineEvent,
  },
  actions: {
    rememberNamed: assign(({ context, event }) => ({
      knownVersion: event.type === "versionNamed"
        ? Math.max(context.knownVersion, event.version)
        : context.knownVersion,
    })),
    putInForce: assign(({ context, event }) =>
      event.type === "versionComplete"
        ? {
          inForceVersion: event.version,
          knownVersion: Math.max(context.knownVersion, event.version),
        }
        : context
    ),
    startFetch: () => {},
    applyVersion: () => {},
    scheduleRetry: () => {},
  },
  guards: {
    isNewest: ({ context, event }) =>
      event.type === "versionComplete" &&
      event.version > context.inForceVersion &&
      event.version >= context.knownVersion,
    isNewer: ({ context, event }) =>
      "version" in event && event.version > context.inForceVersion,
    isAboveKnown: ({ context, event }) =>
      "version" in event && event.version > context.knownVersion,
  },
}).createMachine({
  id: "config",
  context: { inForceVersion: 0, knownVersion: 0 },
  initial: "unknown",
  on: {
    // Content that arrives unasked, or after its fetch was given up.
    versionComplete: [
      {
        guard: "isNewest",
        target: ".inForce",
        actions: ["putInForce", "applyVersion"],
      },
      {
        guard: "isNewer",
        target: ".fetching",
        actions: ["putInForce", "applyVersion", "startFetch"],
      },
    ],
  },
  states: {
    unknown: {
      on: {
        versionNamed: {
          guard: "isNewer",
          target: "fetching",
          actions: ["rememberNamed", "startFetch"],
        },
      },
    },
    fetching: {
      on: {
        versionNamed: { guard: "isAboveKnown", actions: "rememberNamed" },
        sourcesExhausted: { target: "waiting", actions: "scheduleRetry" },
      },
    },
    waiting: {
      on: {
        versionNamed: {
          guard: "isAboveKnown",
          target: "fetching",
          actions: ["rememberNamed", "startFetch"],
        },
        retryDue: { target: "fetching", actions: "startFetch" },
      },
    },
    inForce: {
      on: {
        versionNamed: {
          guard: "isNewer",
          target: "fetching",
          actions: ["rememberNamed", "startFetch"],
        },
      },
    },
  },
});
