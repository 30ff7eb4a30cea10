/** Routes requests by path and method. */
import {MarigoldpostError} from '@marigoldpost/common';
import type {Exchange} from '../http/exchange.js';

/** A path with a method, and its handler. */
export interface Route {
  /** HTTP method, or `*` for any. */
  readonly method: string;
  /**
   * Path with parameters as in OpenAPI, for example `/v1/programs/{program}`. A
   * trailing `{path*}` matches the rest of the path.
   */
  readonly path: string;
  /**
   * Handles a request. A thrown error becomes the response.
   * @param exchange - Request to handle.
   * @param parameters - Decoded path parameters by name.
   */
  handle(
    exchange: Exchange,
    parameters: Readonly<Record<string, string>>,
  ): Promise<void>;
}

interface CompiledRoute {
  readonly route: Route;
  readonly pattern: RegExp;
}

/** Dispatches requests to the first matching route. */
export class Router {
  private readonly routes: readonly CompiledRoute[];

  private constructor(routes: readonly Route[]) {
    this.routes = routes.map((route) => ({
      route,
      pattern: compilePath(route.path),
    }));
  }

  /**
   * Creates a router.
   * @param routes - Routes in order of precedence.
   */
  static create(routes: readonly Route[]): Router {
    return new Router(routes);
  }

  /**
   * Handles a request. Throws `unknown_path` if no route has its path,
   * `method_not_allowed` if none of those accepts its method, and
   * `invalid_request` if the path is not valid percent-encoding.
   * @param exchange - Request to handle.
   */
  async handle(exchange: Exchange): Promise<void> {
    const {pathname} = exchange.url;
    const matching = this.routes.filter(({pattern}) => pattern.test(pathname));
    const {method} = exchange;
    const found = matching.find(
      ({route}) => route.method === '*' || route.method === method,
    );
    if (found !== undefined) {
      const groups = found.pattern.exec(pathname)?.groups ?? {};
      await found.route.handle(exchange, decodeParameters(groups));
      return;
    }
    if (matching.length === 0) {
      const message = `path "${pathname}" does not exist`;
      throw MarigoldpostError.create('unknown_path', message);
    }
    const allowed = matching.map(({route}) => route.method).join(', ');
    exchange.response.setHeader('Allow', allowed);
    throw MarigoldpostError.create(
      'method_not_allowed',
      `path "${pathname}" allows ${allowed}, not ${method}`,
    );
  }
}

function compilePath(path: string): RegExp {
  const source = path
    .replaceAll('.', '\\.')
    .replace(/\{(\w+)\*\}$/, '(?<$1>.*)')
    .replaceAll(/\{(\w+)\}/g, '(?<$1>[^/]+)');
  return new RegExp(`^${source}$`);
}

function decodeParameters(
  groups: Record<string, string>,
): Record<string, string> {
  try {
    const decoded = Object.entries(groups).map(([name, value]) => [
      name,
      decodeURIComponent(value),
    ]);
    return Object.fromEntries(decoded) as Record<string, string>;
  } catch {
    throw MarigoldpostError.create(
      'invalid_request',
      'the path is not valid percent-encoding',
    );
  }
}
