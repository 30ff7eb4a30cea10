/** Routes for liveness, readiness and metrics. */
import type {EntryContext} from './entry_context.js';
import type {Route} from './route.js';

const textContentType = 'text/plain; charset=utf-8';
const metricsContentType = 'text/plain; version=0.0.4; charset=utf-8';

/**
 * Creates the routes `/healthz`, `/readyz` and `/metrics`.
 * @param context - Context that all routes share.
 */
export function createHealthRoutes(context: EntryContext): Route[] {
  const {gateway, metrics} = context.dependencies;
  return [
    {
      method: 'GET',
      path: '/healthz',
      handle: async (exchange) =>
        exchange.writeText(200, textContentType, 'ok\n'),
    },
    {
      method: 'GET',
      path: '/readyz',
      handle: async (exchange) => {
        const isReady = gateway.isReady();
        const text = isReady ? 'ready\n' : 'not ready\n';
        exchange.writeText(isReady ? 200 : 503, textContentType, text);
      },
    },
    {
      method: 'GET',
      path: '/metrics',
      handle: async (exchange) =>
        exchange.writeText(200, metricsContentType, metrics.renderExposition()),
    },
  ];
}
