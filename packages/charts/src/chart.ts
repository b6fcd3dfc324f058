import { createMachine, getNextSnapshot, initialTransition } from 'xstate';
import { ChartError } from './chart-error';

/** A flat state chart as it stands in a JSON file: states, the events each takes, its next state. */
export interface ChartDefinition {
  readonly id: string;
  readonly initial: string;
  readonly states: Readonly<
    Record<string, { readonly on?: Readonly<Record<string, string>>; readonly type?: string }>
  >;
}

/**
 * Interprets a chart file. The transitions are computed by xstate once, at load, so that a step in
 * the call path costs two map lookups.
 */
export class Chart {
  readonly initial: string;

  private readonly table = new Map<string, Map<string, string>>();

  constructor(private readonly definition: ChartDefinition) {
    this.check();
    const machine = createMachine(definition as Parameters<typeof createMachine>[0]);
    const [start] = initialTransition(machine);
    this.initial = String(start.value);
    for (const state of Object.keys(definition.states)) {
      const snapshot = machine.resolveState({ value: state });
      const row = new Map<string, string>();
      for (const event of Object.keys(definition.states[state]?.on ?? {})) {
        row.set(event, String(getNextSnapshot(machine, snapshot, { type: event }).value));
      }
      this.table.set(state, row);
    }
  }

  /** The state after the event, or undefined where the chart has no such transition. */
  next(state: string, event: string): string | undefined {
    return this.table.get(state)?.get(event);
  }

  /** True for a state that no event leaves. */
  isFinal(state: string): boolean {
    return this.table.get(state)?.size === 0;
  }

  get states(): readonly string[] {
    return [...this.table.keys()];
  }

  private check(): void {
    const { id, initial, states } = this.definition;
    if (!Object.hasOwn(states, initial)) {
      throw new ChartError(`chart ${id}: initial: unknown state '${initial}'`);
    }
    for (const [state, { on = {} }] of Object.entries(states)) {
      for (const [event, next] of Object.entries(on)) {
        if (!Object.hasOwn(states, next)) {
          throw new ChartError(`chart ${id}: states.${state}.on.${event}: unknown state '${next}'`);
        }
      }
    }
  }
}
