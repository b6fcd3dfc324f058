import { RouteTable } from '@daisyferry/mesh/route-table';
import type { RoutingConfiguration } from '@daisyferry/mesh/routing-configuration';
import type { EventLog } from './event-log';
import { Signal } from './signal';

/** The configuration in force. It is only ever replaced by one of a greater version. */
export class ConfigurationHolder {
  private table: RouteTable | undefined;

  private document = '';

  private readonly changes = new Signal<number>();

  constructor(
    private readonly decode: (text: string) => RoutingConfiguration,
    private readonly log: EventLog,
  ) {}

  get routes(): RouteTable | undefined {
    return this.table;
  }

  get version(): number {
    return this.table?.configuration.version ?? 0;
  }

  /** The operator's document, for daemons that cannot read the store. */
  get text(): string {
    return this.document;
  }

  subscribe(listener: (version: number) => void): void {
    this.changes.subscribe(listener);
  }

  /** Takes a document from the store or from another daemon. */
  offer(text: string, source: string): void {
    if (text === this.document) return;
    let configuration: RoutingConfiguration;
    try {
      configuration = this.decode(text);
    } catch (error) {
      this.log.warn('configuration refused', { source, error: String(error) });
      return;
    }
    const { version } = configuration;
    if (version <= this.version) return;
    const previous = this.version;
    this.table = new RouteTable(configuration);
    this.document = text;
    this.log.belief('configuration applied', { version, previous, source });
    this.changes.emit(version);
  }
}
