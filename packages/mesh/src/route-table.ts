import type { ClientAccount } from './client-account';
import { requestPriority } from './request-priority';
import type { Route, RoutingConfiguration } from './routing-configuration';

function prioritiesInUse({ routes, accounts }: RoutingConfiguration): Set<number> {
  const hasAccounts = accounts.length > 0;
  // Accounts of one priority are alike here.
  const accountOfPriority = new Map(accounts.map((account) => [account.priority, account]));
  return new Set(
    routes.flatMap((route) =>
      route.isPublic || !hasAccounts
        ? [requestPriority(route, undefined, hasAccounts)]
        : [...accountOfPriority.values()].map((account) => requestPriority(route, account, true)),
    ),
  );
}

/** Finds the route of a request: the longest matching path prefix among the routes of its host. */
export class RouteTable {
  /** The priorities in use, the least urgent (greatest number) first. */
  private readonly prioritiesInUse: readonly number[];

  private readonly accountsByName: ReadonlyMap<string, ClientAccount>;

  private readonly hosts = new Map<string, Map<string, Route>>();

  constructor(readonly configuration: RoutingConfiguration) {
    this.prioritiesInUse = [...prioritiesInUse(configuration)].sort((left, right) => right - left);
    this.accountsByName = new Map(configuration.accounts.map((account) => [account.name, account]));
    for (const route of configuration.routes) {
      const host = route.host.toLowerCase();
      const prefixes = this.hosts.get(host) ?? new Map<string, Route>();
      prefixes.set(route.prefix, route);
      this.hosts.set(host, prefixes);
    }
  }

  /** The client account of this name. */
  accountOf(name: string): ClientAccount | undefined {
    return this.accountsByName.get(name);
  }

  /** True if the configuration has client accounts, so that requests need keys. */
  get hasAccounts(): boolean {
    return this.configuration.accounts.length > 0;
  }

  /** Number of priority classes in use, however their priorities are numbered. */
  get classCount(): number {
    return this.prioritiesInUse.length;
  }

  /** Number of priority classes in use that are less urgent. */
  classesBelow(priority: number): number {
    return this.prioritiesInUse.filter((other) => other > priority).length;
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
