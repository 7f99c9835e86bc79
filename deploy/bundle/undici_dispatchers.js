/**
 * Exports the parts of undici that the router uses. Its index would also load
 * fetch, caches and mocks, which take most of the start-up time.
 */
import buildConnector from "undici/lib/core/connect.js";
import errors from "undici/lib/core/errors.js";
import Agent from "undici/lib/dispatcher/agent.js";
import Client from "undici/lib/dispatcher/client.js";

export { Agent, buildConnector, Client, errors };
