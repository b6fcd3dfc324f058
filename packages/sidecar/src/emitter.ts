/** A single event; its listeners can be added after the object that emits it was built. */
export class Emitter<Value> {
  private readonly listeners: ((value: Value) => void)[] = [];

  subscribe(listener: (value: Value) => void): void {
    this.listeners.push(listener);
  }

  emit(value: Value): void {
    for (const listener of this.listeners) listener(value);
  }
}
