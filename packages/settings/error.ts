/** Names the field that is wrong; `main` prints it and exits with code 2. */
export class SettingsError extends Error {}
