/** Finds the route of a request. */
import type {Route} from './route.js';

/** Routes by host, the longest prefix first. */
export class RouteTable {
  private constructor(
    private readonly routesByHost: ReadonlyMap<string, readonly Route[]>,
  ) {}

  /**
   * Creates a table.
   * @param routes - Every route of a configuration.
   */
  static create(routes: readonly Route[]): RouteTable {
    const byHost = new Map<string, Route[]>();
    for (const route of routes) {
      const known = byHost.get(route.host);
      if (known === undefined) byHost.set(route.host, [route]);
      else known.push(route);
    }
    for (const known of byHost.values()) known.sort(compareByPrefixLength);
    return new RouteTable(byHost);
  }

  /**
   * Gets the route with the longest prefix that begins the path.
   * @param host - The request's `Host`, without regard to case or port.
   * @param path - The request's path; a query is left out of account.
   */
  getRoute(host: string, path: string): Route | undefined {
    const [plainPath = ''] = path.split('?', 1);
    const routes = this.routesByHost.get(toHostName(host)) ?? [];
    return routes.find(({pathPrefix}) => plainPath.startsWith(pathPrefix));
  }
}

function compareByPrefixLength(left: Route, right: Route): number {
  return right.pathPrefix.length - left.pathPrefix.length;
}

function toHostName(host: string): string {
  return host.toLowerCase().replace(/:\d+$/, '');
}
