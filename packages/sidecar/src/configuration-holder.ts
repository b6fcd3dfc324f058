import { RouteTable } from '@daisyferry/mesh/route-table';
import type { RoutingConfiguration } from '@daisyferry/mesh/routing-configuration';
import type { EventLog } from './event-log';
import { Emitter } from './emitter';

/** Maximum number of problems of one document that are logged. */
const MAX_LOGGED_PROBLEMS = 20;

/** Holds the active configuration and replaces it only by one with a greater version. */
export class ConfigurationHolder {
  private routeTable: RouteTable | undefined;

  private currentDocument = '';

  /** The latest document that was invalid or not newer; the store is read again and again. */
  private skippedDocument = '';

  private readonly changes = new Emitter<number>();

  constructor(
    private readonly decode: (text: string) => RoutingConfiguration,
    private readonly log: EventLog,
    private readonly onRejected: () => void = () => undefined,
  ) {}

  get routes(): RouteTable | undefined {
    return this.routeTable;
  }

  get version(): number {
    return this.routeTable?.configuration.version ?? 0;
  }

  /** The operator's document as received; it is sent to any peer that requests it. */
  get document(): string {
    return this.currentDocument;
  }

  /** Number of parts of the active document that could not be read. */
  get problemCount(): number {
    return this.routeTable?.configuration.problems.length ?? 0;
  }

  subscribe(listener: (version: number) => void): void {
    this.changes.subscribe(listener);
  }

  /** Applies a document from the store or from another daemon if its version is greater. */
  applyIfNewer(text: string, source: string): void {
    if (text === this.currentDocument || text === this.skippedDocument) return;
    let configuration: RoutingConfiguration;
    try {
      configuration = this.decode(text);
    } catch (error) {
      this.skippedDocument = text;
      this.onRejected();
      this.log.warn('configuration rejected', { source, error: String(error) });
      return;
    }
    const { version } = configuration;
    if (version <= this.version) {
      this.skippedDocument = text;
      return;
    }
    const previous = this.version;
    this.routeTable = new RouteTable(configuration);
    this.currentDocument = text;
    this.log.stateChange('configuration applied', { version, previous, source });
    this.logProblems();
    this.changes.emit(version);
  }

  private logProblems(): void {
    const { version, problemCount } = this;
    if (problemCount === 0) return;
    const problems = this.routeTable?.configuration.problems.slice(0, MAX_LOGGED_PROBLEMS);
    this.log.warn('configuration read in part', { version, problemCount, problems });
  }
}
