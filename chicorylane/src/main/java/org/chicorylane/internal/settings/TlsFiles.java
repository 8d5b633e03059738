package org.chicorylane.internal.settings;

import java.nio.file.Path;

/**
 * Where the TLS certificate for callers is.
 *
 * @param certificate the certificate chain in PEM form
 * @param key the private key in PEM form, PKCS #8, without a password
 */
public record TlsFiles(Path certificate, Path key) {}
