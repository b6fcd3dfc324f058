/** Calls its listeners; lets a part be built before those that listen to it. */
export class Signal<Value> {
  private readonly listeners: ((value: Value) => void)[] = [];

  subscribe(listener: (value: Value) => void): void {
    this.listeners.push(listener);
  }

  emit(value: Value): void {
    for (const listener of this.listeners) listener(value);
  }
}
