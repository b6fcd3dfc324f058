/** A single event; its listeners can be added after the object that emits it was built. */
export class Emitter<Value> {
  private readonly listeners: ((value: Value) => void)[] = [];

  subscribe(listener: (value: Value) => void): void {
    this.listeners.push(listener);
  }

  /** Calls all listeners; rethrows the error of the first one that threw. */
  emit(value: Value): void {
    const errors: unknown[] = [];
    for (const listener of this.listeners) {
      try {
        listener(value);
      } catch (error) {
        errors.push(error);
      }
    }
    if (errors.length > 0) throw errors[0];
  }
}
