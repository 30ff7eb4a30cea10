/** Looks up the route of a request by host and path prefix. */
import type {Route} from './route.js';

/** Routes by host, sorted by path prefix with the longest first. */
export class RouteTable {
  private constructor(
    private readonly routesByHost: ReadonlyMap<string, readonly Route[]>,
  ) {}

  /**
   * Creates a table.
   * @param routes - All routes of a configuration.
   */
  static create(routes: readonly Route[]): RouteTable {
    const byHost = new Map<string, Route[]>();
    for (const route of routes) {
      const existing = byHost.get(route.host);
      if (existing === undefined) byHost.set(route.host, [route]);
      else existing.push(route);
    }
    for (const list of byHost.values()) list.sort(compareByPrefixLength);
    return new RouteTable(byHost);
  }

  /**
   * Gets the route with the longest prefix of the path; `undefined` without
   * a match.
   * @param host - `Host` header of the request; case and port are ignored.
   * @param path - Path of the request; a query is ignored.
   */
  getRoute(host: string, path: string): Route | undefined {
    const [pathWithoutQuery = ''] = path.split('?', 1);
    const routes = this.routesByHost.get(toHostName(host)) ?? [];
    return routes.find(({pathPrefix}) =>
      pathWithoutQuery.startsWith(pathPrefix),
    );
  }
}

function compareByPrefixLength(left: Route, right: Route): number {
  return right.pathPrefix.length - left.pathPrefix.length;
}

function toHostName(host: string): string {
  return host.toLowerCase().replace(/:\d+$/, '');
}
