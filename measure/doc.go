// Command measure runs the project's measurements and prints their figures.
package main
