import type { Route, RoutingConfiguration } from './routing-configuration';

/** Finds the route of a request: among the routes of its host the longest prefix of its path. */
export class RouteTable {
  /** Greatest number of a priority in use. */
  readonly leastUrgent: number;

  private readonly hosts = new Map<string, Map<string, Route>>();

  constructor(readonly configuration: RoutingConfiguration) {
    this.leastUrgent = Math.max(0, ...configuration.routes.map(({ priority }) => priority));
    for (const route of configuration.routes) {
      const host = route.host.toLowerCase();
      const prefixes = this.hosts.get(host) ?? new Map<string, Route>();
      prefixes.set(route.prefix, route);
      this.hosts.set(host, prefixes);
    }
  }

  /** `target` is the path with its query; `host` is in lower case. */
  find(host: string, target: string): Route | undefined {
    const prefixes = this.hosts.get(host);
    if (prefixes === undefined) return undefined;
    const query = target.indexOf('?');
    const path = query < 0 ? target : target.slice(0, query);
    for (let slash = path.lastIndexOf('/'); slash >= 0; slash = path.lastIndexOf('/', slash - 1)) {
      const route = prefixes.get(path.slice(0, slash + 1));
      if (route !== undefined) return route;
      if (slash === 0) return undefined;
    }
    return undefined;
  }
}
