/** What every route of the operators' HTTP needs. */
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

/** A request whose operator is known. */
export interface OperatorRequest {
  readonly exchange: Exchange;
  readonly operator: OperatorConfig;
  readonly parameters: Readonly<Record<string, string>>;
}

/** One operators' route before its operator is checked. */
export interface OperatorRoute {
  readonly method: string;
  readonly path: string;
  /**
   * Gets the body of the answer.
   * @param request - The request.
   */
  handle(request: OperatorRequest): Promise<unknown>;
}

/**
 * Makes a route that checks the operator first and answers with JSON.
 * @param parts - Parts of the daemon.
 * @param route - The route.
 */
export function toRoute(parts: OperationsParts, route: OperatorRoute): Route {
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
