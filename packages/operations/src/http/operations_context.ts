/** Dependencies and authentication of the operators' HTTP routes. */
import type {Exchange, Route} from '@marigoldpost/entry';
import type {OperatorConfig} from '@marigoldpost/settings';
import type {EventLogger} from '@marigoldpost/telemetry';
import type {ActionLog} from '../audit/action_log.js';
import type {ConfigStore} from '../config/config_store.js';
import type {StatusSource} from '../status/status_source.js';
import {getOperatorOrThrow} from './operator_access.js';

/** Parts of the daemon that operators' routes use. */
export interface OperationsParts {
  readonly source: StatusSource;
  readonly configs: ConfigStore;
  readonly actions: ActionLog;
  readonly logger: EventLogger;
}

/** A request of an authenticated operator. */
export interface OperatorRequest {
  readonly exchange: Exchange;
  readonly operator: OperatorConfig;
  readonly parameters: Readonly<Record<string, string>>;
}

/** A route that receives requests of authenticated operators. */
export interface OperatorRoute {
  readonly method: string;
  readonly path: string;
  /**
   * Handles a request; returns the JSON body of the response.
   * @param request - The request and its operator.
   */
  handle(request: OperatorRequest): Promise<unknown>;
}

/**
 * Creates a route that authenticates the operator, then responds with JSON.
 * @param parts - Parts of the daemon; the source has the operators' keys.
 * @param route - Method, path and handler.
 */
export function createOperatorRoute(
  parts: OperationsParts,
  route: OperatorRoute,
): Route {
  const {method, path} = route;
  return {
    method,
    path,
    handle: async (exchange, parameters) => {
      const config = parts.source.getConfig();
      const operator = getOperatorOrThrow(exchange, config);
      const body = await route.handle({exchange, operator, parameters});
      exchange.writeJson(200, body);
    },
  };
}
