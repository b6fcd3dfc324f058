import { createMachine, getNextSnapshot, initialTransition } from 'xstate';
import { ChartError } from './chart-error';

/** A flat state chart as defined in a JSON file: for each state, the next state by event. */
export interface ChartDefinition {
  readonly id: string;
  readonly initial: string;
  readonly states: Readonly<
    Record<string, { readonly on?: Readonly<Record<string, string>>; readonly type?: string }>
  >;
}

/**
 * Evaluates a chart definition. xstate computes the transitions once, at load, so that a transition
 * on the call path costs two map lookups.
 */
export class Chart {
  readonly initial: string;

  private readonly nextStates = new Map<string, Map<string, string>>();

  constructor(private readonly definition: ChartDefinition) {
    this.validate();
    const machine = createMachine(definition as Parameters<typeof createMachine>[0]);
    const [initialSnapshot] = initialTransition(machine);
    this.initial = String(initialSnapshot.value);
    for (const state of Object.keys(definition.states)) {
      const snapshot = machine.resolveState({ value: state });
      const nextStateByEvent = new Map<string, string>();
      for (const event of Object.keys(definition.states[state]?.on ?? {})) {
        nextStateByEvent.set(
          event,
          String(getNextSnapshot(machine, snapshot, { type: event }).value),
        );
      }
      this.nextStates.set(state, nextStateByEvent);
    }
  }

  /** Returns the state after the event, or undefined if the chart has no such transition. */
  next(state: string, event: string): string | undefined {
    return this.nextStates.get(state)?.get(event);
  }

  /** True for a state without outgoing transitions. */
  isFinal(state: string): boolean {
    return this.nextStates.get(state)?.size === 0;
  }

  get states(): readonly string[] {
    return [...this.nextStates.keys()];
  }

  private validate(): void {
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
