/** Paths of the HTTP interface and who serves them. */
import {MarigoldpostError} from '@marigoldpost/common';
import type {Exchange} from '../http/exchange.js';

/** One path with a method. */
export interface Route {
  /** HTTP method, or `*` for any. */
  readonly method: string;
  /** As in OpenAPI, `/v1/programs/{program}`; a last `{path*}` takes the rest. */
  readonly path: string;
  /**
   * Serves a request. What it throws becomes the answer.
   * @param exchange - The request.
   * @param parameters - Decoded parts of the path by name.
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

/** Finds the route of a request. */
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
   * @param routes - The routes; the first that fits is taken.
   */
  static create(routes: readonly Route[]): Router {
    return new Router(routes);
  }

  /**
   * Serves a request; throws `unknown_path` or `method_not_allowed` when no
   * route fits.
   * @param exchange - The request.
   */
  async handle(exchange: Exchange): Promise<void> {
    const {pathname} = exchange.url;
    const fitting = this.routes.filter(({pattern}) => pattern.test(pathname));
    const {method} = exchange;
    const found = fitting.find(
      ({route}) => route.method === '*' || route.method === method,
    );
    if (found !== undefined) {
      const groups = found.pattern.exec(pathname)?.groups ?? {};
      await found.route.handle(exchange, decodeParameters(groups));
      return;
    }
    if (fitting.length === 0) {
      const message = `path "${pathname}" is not served`;
      throw MarigoldpostError.create('unknown_path', message);
    }
    const allowed = fitting.map(({route}) => route.method).join(', ');
    exchange.response.setHeader('Allow', allowed);
    throw MarigoldpostError.create(
      'method_not_allowed',
      `path "${pathname}" takes ${allowed}, not ${method}`,
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
      'the path is not well encoded',
    );
  }
}
