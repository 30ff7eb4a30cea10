/** Health and metrics. */
import type {EntryContext} from './entry_context.js';
import type {Route} from './route.js';

const plainText = 'text/plain; charset=utf-8';
const expositionType = 'text/plain; version=0.0.4; charset=utf-8';

/**
 * Creates the routes of health and metrics.
 * @param context - What routes share.
 */
export function createHealthRoutes(context: EntryContext): Route[] {
  const {gateway, metrics} = context.parts;
  return [
    {
      method: 'GET',
      path: '/healthz',
      handle: async (exchange) => exchange.writeText(200, plainText, 'ok\n'),
    },
    {
      method: 'GET',
      path: '/readyz',
      handle: async (exchange) => {
        const isReady = gateway.isReady();
        const text = isReady ? 'ready\n' : 'not ready\n';
        exchange.writeText(isReady ? 200 : 503, plainText, text);
      },
    },
    {
      method: 'GET',
      path: '/metrics',
      handle: async (exchange) =>
        exchange.writeText(200, expositionType, metrics.renderExposition()),
    },
  ];
}
