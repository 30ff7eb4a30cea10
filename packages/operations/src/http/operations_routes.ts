/** The operators' HTTP routes and the status page. */
import type {Route} from '@marigoldpost/entry';
import {statusPage} from '../page/status_page.js';
import {createConfigRoutes} from './config_routes.js';
import {createFleetRoutes} from './fleet_routes.js';
import type {OperationsParts} from './operations_context.js';
import {toPublicRoute} from './public_error.js';

const htmlType = 'text/html; charset=utf-8';
// The page loads nothing from other origins and runs only its own script.
const pagePolicy =
  "default-src 'none'; style-src 'unsafe-inline'; script-src 'unsafe-inline'; " +
  "connect-src 'self'; frame-ancestors 'none'";

/**
 * Creates the routes under `/ops`, for `CallerServer`.
 * @param parts - Parts of the daemon that the routes use.
 */
export function createOperationsRoutes(parts: OperationsParts): Route[] {
  const routes = [...createConfigRoutes(parts), ...createFleetRoutes(parts)];
  return [
    {
      method: 'GET',
      path: '/ops/',
      handle: async (exchange) => {
        exchange.response.setHeader('Content-Security-Policy', pagePolicy);
        exchange.writeText(200, htmlType, statusPage);
      },
    },
    ...routes.map(toPublicRoute),
  ];
}
